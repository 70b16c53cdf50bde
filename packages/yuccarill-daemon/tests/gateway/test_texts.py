"""Test the handover of unfinished texts to the next holder of a duty."""

from __future__ import annotations

import dataclasses
import math

import msgspec
from twisted.internet import task

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.partial_text import PartialText
from yuccarill.core.jobs import text_copies
from yuccarill.core.speeds.estimate import SpeedRecord
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.duty import graceful_shutdown
from yuccarill.daemon.gateway.duty import session as session_module
from yuccarill.daemon.gateway.jobs import runner as runner_module
from yuccarill.daemon.gateway.jobs import text_copier
from yuccarill.daemon.gateway.jobs import text_fetch
from yuccarill.daemon.gateway.jobs import texts

from . import runner_world
from . import world


def text(name: str, parts: int, size: int = 4) -> PartialText:
    return PartialText(
        item=ItemId(name),
        body_digest=b'b',
        scoring_digest=b's',
        parts=tuple('x' * size for _ in range(parts)),
        versions=(WeightVersion(1),),
    )


def speed(age: float = 0.0) -> SpeedRecord:
    return SpeedRecord(
        target=TargetId('e'),
        start=TargetStart(),
        log_pace=-3.2,
        variance=0.01,
        age=age,
    )


def message(
    *found: PartialText, first: int = 0, source: str = 'a', number: int = 1
) -> bytes:
    return msgspec.msgpack.encode(
        texts.HandedTexts(
            service=world.SERVICE,
            source=source,
            number=number,
            texts=tuple(
                text_copies.TextChange(text=each, first=first)
                for each in found
            ),
        )
    )


@dataclasses.dataclass
class Links:
    """Simulate links to the depots of peers; other addresses time out."""

    clock: task.Clock
    depots_by_address: dict[str, texts.TextCopyStore]
    sent: list[str] = dataclasses.field(default_factory=list)
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    is_corrupt: bool = False
    # Bandwidth in bytes per second, and latency in seconds.
    rate: float = math.inf
    latency: float = 0.004

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        self.sent.append(address)
        self.bodies.append(request.body)
        await task.deferLater(self.clock, self.latency)
        depot = self.depots_by_address.get(address)
        if depot is None:
            left = deadline - self.clock.seconds()
            await task.deferLater(self.clock, left)
            raise http_exchange.ExchangeFailed('no whole answer in time')
        page = await depot.handle(
            small_server.SmallRequest(
                method=request.method,
                target=request.target,
                body=request.body,
            )
        )
        await task.deferLater(self.clock, len(page.body) / self.rate)
        if self.clock.seconds() > deadline:
            raise http_exchange.ExchangeFailed('no whole answer in time')
        head = http_exchange.ReplyHead(status=page.status, headers=())
        body = b'spoiled' if self.is_corrupt else page.body
        return http_exchange.Reply(head=head, body=body)


class DepotTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.depot = texts.TextCopyStore(self.clock)

    def receive(
        self,
        *found: PartialText,
        first: int = 0,
        source: str = 'a',
        number: int = 1,
    ) -> int:
        body = message(*found, first=first, source=source, number=number)
        request = small_server.SmallRequest(
            method='POST', target=texts.PATH, body=body
        )
        return self.finish(self.depot.handle(request)).status

    def test_texts_are_taken_once(self) -> None:
        self.assertEqual(200, self.receive(text('a', 3)))
        self.assertEqual(
            [text('a', 3)], self.depot.remove_texts(world.SERVICE)
        )
        self.assertEqual([], self.depot.remove_texts(world.SERVICE))

    def test_new_events_are_appended(self) -> None:
        self.receive(text('a', 3))
        self.assertEqual(200, self.receive(text('a', 2), first=3, number=2))
        self.assertEqual(
            [text('a', 5)], self.depot.remove_texts(world.SERVICE)
        )

    def test_events_after_a_gap_are_refused(self) -> None:
        self.assertEqual(409, self.receive(text('a', 2), first=3))
        self.receive(text('a', 1))
        self.assertEqual(409, self.receive(text('a', 2), first=3, number=2))
        self.assertEqual(
            [text('a', 1)], self.depot.remove_texts(world.SERVICE)
        )

    def test_events_of_two_holders_are_not_mixed(self) -> None:
        """Guard against a text joined from the events of two holders."""
        self.receive(text('a', 6), source='old')
        self.receive(text('a', 4, size=9), source='new')
        status = self.receive(text('a', 1), first=4, source='old', number=2)
        self.assertEqual(409, status)
        found = self.depot.remove_texts(world.SERVICE)
        self.assertEqual([text('a', 4, size=9)], found)

    def test_a_reordered_message_is_refused(self) -> None:
        # The sender has restarted the text since this message.
        self.receive(text('a', 3))
        self.receive(text('a', 5, size=9), number=3)
        status = self.receive(text('a', 1), first=3, number=2)
        self.assertEqual(409, status)
        found = self.depot.remove_texts(world.SERVICE)
        self.assertEqual([text('a', 5, size=9)], found)

    def test_a_restarted_text_replaces_the_old_one(self) -> None:
        self.receive(text('a', 6))
        self.receive(text('a', 2, size=9), number=2)
        found = self.depot.remove_texts(world.SERVICE)
        self.assertEqual([text('a', 2, size=9)], found)

    def test_expired_texts_are_dropped(self) -> None:
        self.receive(text('a', 3))
        self.run_for(texts.RETENTION_SECONDS + 0.1, step=0.1)
        self.assertEqual([], self.depot.remove_texts(world.SERVICE))

    def test_the_number_of_texts_is_limited(self) -> None:
        names = [f'i{n}' for n in range(texts.MAX_TEXTS + 20)]
        self.receive(*(text(name, 1) for name in names))
        found = self.depot.remove_texts(world.SERVICE)
        self.assertEqual(texts.MAX_TEXTS, len(found))

    def test_speeds_age_until_they_are_taken(self) -> None:
        body = msgspec.msgpack.encode(
            texts.HandedTexts(
                service=world.SERVICE,
                source='a',
                number=1,
                texts=(),
                speeds=(speed(age=1.0),),
            )
        )
        request = small_server.SmallRequest(
            method='POST', target=texts.PATH, body=body
        )
        self.assertEqual(200, self.finish(self.depot.handle(request)).status)
        self.run_for(2.0, step=0.1)
        (found,) = self.depot.take_speeds(world.SERVICE)
        self.assertAlmostEqual(3.0, found.age, 1)
        self.assertEqual([], self.depot.take_speeds(world.SERVICE))

    def test_an_empty_message_is_accepted(self) -> None:
        self.assertEqual(200, self.receive())

    def test_invalid_messages_are_refused(self) -> None:
        for body in (b'', b'\x00', b'{}', b'\x81\xa7service\xa1e'):
            request = small_server.SmallRequest(
                method='POST', target=texts.PATH, body=body
            )
            page = self.finish(self.depot.handle(request))
            self.assertEqual(400, page.status)


class SenderTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.depots = {
            f'{name}:2': texts.TextCopyStore(self.clock) for name in 'bcd'
        }
        self.links = Links(self.clock, dict(self.depots))
        self.own_state = self.state('a')
        for name in 'abcd':
            world.list_instance(self.own_state, name)
        self.sender = texts.TextSender(self.own_state, self.links, self.clock)

    def hand_over(self, *found: PartialText) -> None:
        self.finish(self.sender.hand_over(world.SERVICE, found))

    def test_the_next_two_candidates_get_the_texts(self) -> None:
        self.hand_over(text('a', 3))
        self.assertEqual(2, len(self.links.sent))
        for address in self.links.sent:
            found = self.depots[address].remove_texts(world.SERVICE)
            self.assertEqual([text('a', 3)], found)

    def test_speeds_are_sent_at_an_interval(self) -> None:
        """Guard against losing known engine speeds with their holder."""
        self.sender.speeds_of = lambda service: [speed()]
        self.hand_over(text('a', 3))
        self.hand_over(text('a', 4))
        speed_counts = [
            len(msgspec.msgpack.decode(body, type=texts.HandedTexts).speeds)
            for body in self.links.bodies
        ]
        self.assertEqual([1, 1, 0, 0], speed_counts)
        for address in self.links.sent[:2]:
            found = self.depots[address].take_speeds(world.SERVICE)
            self.assertEqual(['e'], [record.target for record in found])

    def test_leaving_instances_get_no_texts(self) -> None:
        record = self.own_state.instances_by_id['b']
        self.own_state.instances_by_id['b'] = msgspec.structs.replace(
            record, is_leaving=True
        )
        self.hand_over(text('a', 3))
        self.assertEqual({'c:2', 'd:2'}, set(self.links.sent))

    def test_a_dead_receiver_does_not_delay_the_stop(self) -> None:
        self.links.depots_by_address.clear()
        started_at = self.clock.seconds()
        self.hand_over(text('a', 3))
        seconds = self.clock.seconds() - started_at
        self.assertLess(seconds, texts.ANSWER_SECONDS + 0.1)

    def test_the_first_texts_are_sent_if_all_exceed_the_limit(self) -> None:
        size = texts.MAX_BYTES // 10
        self.hand_over(*(text(f'i{n}', 1, size) for n in range(12)))
        found = self.depots[self.links.sent[0]].remove_texts(world.SERVICE)
        self.assertEqual([f'i{n}' for n in range(10)], [t.item for t in found])


class PlannedStopTest(runner_world.RunnerTest):
    """An operator restarts an instance that runs a job."""

    def test_texts_continue_after_a_planned_stop(self) -> None:
        """Guard against restarting texts during a rolling restart."""
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.2
        first = self.hold('a')
        self.submit()
        self.run_for(1.1)
        run_count = len(self.engines.runs)
        left = first.unlisted_texts()
        first.stop()
        second = self.hold('b', left)
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))
        for result in self.results():
            self.assertEqual(runner_world.whole_text(), result.text)
        self.assertTrue(all(f > 0 for _, f in self.engines.runs[run_count:]))
        second.stop()

    def test_an_unlisted_result_is_not_generated_again(self) -> None:
        # The holder stops after generating a text, before listing its result.
        first = self.hold('a')
        self.submit()
        while not first.unlisted_texts() or not all(
            found.is_whole for found in first.unlisted_texts()
        ):
            self.run_for(0.01)
        run_count = len(self.engines.runs)
        left = first.unlisted_texts()
        first.stop()
        self.hold('b', left)
        self.run_for(2.0)
        self.assertEqual(4, len(self.results()))
        self.assertEqual(run_count, len(self.engines.runs))


class DepartureTest(world.WorldTest):
    """An instance is stopped while the store is unavailable."""

    def setUp(self) -> None:
        super().setUp()
        self.links = Links(
            self.clock, {'b:2': texts.TextCopyStore(self.clock)}
        )
        self.own_state = self.state('a')
        for name in 'ab':
            world.list_instance(self.own_state, name)
        self.own = self.store()
        session = session_module.Session(
            self.own_state, self.own, lambda: None, self.clock
        )
        self.finish(session.lease.open())
        self.released: list[float] = []
        depot = texts.TextCopyStore(self.clock)
        self.finish(
            depot.handle(
                small_server.SmallRequest(
                    method='POST',
                    target=texts.PATH,
                    body=message(text('x', 2)),
                )
            )
        )
        self.leaving = graceful_shutdown.GracefulShutdown(
            session,
            {world.SERVICE: self},
            {},
            depot,
            texts.TextSender(self.own_state, self.links, self.clock),
            self.clock,
        )

    async def release(self) -> None:
        """Simulate the release of a duty."""
        self.released.append(self.clock.seconds())

    def test_the_duty_is_released_after_an_outage(self) -> None:
        """Guard against a duty held until its lease ends after a restart.

        The store is unavailable when the instance is told to stop.
        """
        self.own_state.is_leaving = True
        self.own.rejects_calls = True
        self.clock.callLater(1.0, setattr, self.own, 'rejects_calls', False)
        self.finish(self.leaving.leave())
        self.assertEqual(1, len(self.released))
        self.assertLess(self.released[0], 1.5)

    def test_texts_of_another_holder_are_handed_over(self) -> None:
        """Guard against losing texts when two instances stop in a row."""
        self.finish(self.leaving.leave())
        found = self.links.depots_by_address['b:2'].remove_texts(world.SERVICE)
        self.assertEqual([text('x', 2)], found)


class StandbyTest(runner_world.RunnerTest):
    """A holder's machine loses power during a job."""

    def setUp(self) -> None:
        super().setUp()
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.2
        self.depot = texts.TextCopyStore(self.clock)
        self.links = Links(self.clock, {'b:2': self.depot})
        self.own_state = self.state('a')
        for name in 'ab':
            world.list_instance(self.own_state, name)
        self.sender = texts.TextSender(self.own_state, self.links, self.clock)
        self.fetcher = text_fetch.TextFetcher(
            self.own_state, self.links, self.clock
        )

    def copy_from(
        self, runner: runner_module.Runner
    ) -> text_copier.TextCopier:
        found = text_copier.TextCopier(
            world.SERVICE, runner.open_texts, self.sender, self.clock
        )
        found.start()
        self.addCleanup(found.stop)
        return found

    def test_texts_continue_after_the_last_copy(self) -> None:
        """Guard against restarting texts after a holder's power loss."""
        first = self.hold('a')
        text_copy = self.copy_from(first)
        self.submit()
        self.run_for(1.5)
        run_count = len(self.engines.runs)
        first.stop()
        text_copy.stop()
        self.run_for(2.5)
        self.hold('b', self.depot.remove_texts(world.SERVICE))
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))
        for result in self.results():
            self.assertEqual(runner_world.whole_text(), result.text)
        resumed = [first for _, first in self.engines.runs[run_count:]]
        self.assertGreaterEqual(min(resumed), 4)

    def test_only_new_events_are_sent(self) -> None:
        first = self.hold('a')
        self.copy_from(first)
        self.submit()
        self.run_for(1.5)
        parts = sum(
            len(each.text.parts)
            for body in self.links.bodies
            for each in msgspec.msgpack.decode(
                body, type=texts.HandedTexts
            ).texts
        )
        made = sum(len(each.parts) for each in first.open_texts())
        self.assertLessEqual(parts, made)

    def test_a_peer_that_lost_its_copy_gets_whole_texts(self) -> None:
        first = self.hold('a')
        self.copy_from(first)
        self.submit()
        self.run_for(0.8)
        self.depot.remove_texts(world.SERVICE)
        self.run_for(1.0)
        found = self.depot.remove_texts(world.SERVICE)
        self.assertEqual(4, len(found))
        self.assertGreater(min(len(each.parts) for each in found), 2)

    def test_a_holder_that_crashed_fetches_its_own_texts(self) -> None:
        """Guard against restarting texts in a holder that is back at once.

        The restarted process regains its duty before the lease ends.
        """
        first = self.hold('a')
        text_copy = self.copy_from(first)
        self.submit()
        self.run_for(1.5)
        run_count = len(self.engines.runs)
        first.stop()
        text_copy.stop()
        again = text_fetch.TextFetcher(self.own_state, self.links, self.clock)
        self.hold('a', self.finish(again.fetch(world.SERVICE)).texts)
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))
        resumed = [first for _, first in self.engines.runs[run_count:]]
        self.assertGreaterEqual(min(resumed), 4)

    def test_a_large_copy_is_fetched_in_parts(self) -> None:
        """Guard against losing a copy that exceeds the first deadline."""
        copied = [text(f'i{each}', 100, size=100) for each in range(300)]
        self.finish(self.sender.hand_over(world.SERVICE, copied[:150]))
        self.finish(self.sender.hand_over(world.SERVICE, copied[150:]))
        self.links.rate = 7_500_000.0
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(300, len(found.texts))

    def test_a_copy_from_another_region_needs_few_requests(self) -> None:
        """Guard against many round trips over a link with a high latency."""
        copied = [text(f'i{each}', 75, size=100) for each in range(268)]
        self.finish(self.sender.hand_over(world.SERVICE, copied[:134]))
        self.finish(self.sender.hand_over(world.SERVICE, copied[134:]))
        self.links.rate, self.links.latency = 7_500_000.0, 0.1
        started_at = self.clock.seconds()
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(268, len(found.texts))
        # Transfer time plus the latency of all parts.
        self.assertLess(self.clock.seconds() - started_at, 0.3 + 5 * 0.1)

    def test_the_store_is_read_only_without_a_standby_copy(self) -> None:
        """Guard against reading megabytes from the store needlessly."""
        self.finish(self.sender.hand_over(world.SERVICE, [text('a', 3)]))
        standby_address = self.links.sent[0]
        reads: list[None] = []

        async def read() -> list[PartialText]:
            reads.append(None)
            return [text('a', 2), text('b', 2)]

        newest = self.fetcher.newest(world.SERVICE, standby_address, read)
        self.assertEqual([text('a', 3)], self.finish(newest))
        self.assertEqual([], reads)
        del self.links.depots_by_address[standby_address]
        newest = self.fetcher.newest(world.SERVICE, standby_address, read)
        self.assertEqual([text('a', 2), text('b', 2)], self.finish(newest))

    def test_the_store_is_read_after_all_instances_restart(self) -> None:
        """Guard against using the empty copy of a restarted standby."""

        async def read() -> list[PartialText]:
            return [text('a', 30)]

        newest = self.fetcher.newest(world.SERVICE, 'b:2', read)
        self.assertEqual([text('a', 30)], self.finish(newest))

    def test_a_fetch_without_peers_ends_soon(self) -> None:
        # All peers lost power or are partitioned from this instance.
        self.links.depots_by_address.clear()
        started_at = self.clock.seconds()
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(text_fetch.FetchedTexts([]), found)
        seconds = self.clock.seconds() - started_at
        self.assertLess(seconds, text_fetch.FETCH_SECONDS + 0.1)

    def test_an_invalid_copy_is_ignored(self) -> None:
        self.links.is_corrupt = True
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(text_fetch.FetchedTexts([]), found)

    def test_a_dead_peer_is_called_rarely(self) -> None:
        self.links.depots_by_address.clear()
        self.copy_from(self.hold('a'))
        self.submit()
        self.run_for(2.0)
        self.assertLessEqual(len(self.links.sent), 2)
