"""Test how unfinished texts reach the next holder of a duty."""

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
from yuccarill.daemon.gateway.duty import departure
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
    """Carry texts to the depots of peers; others do not answer."""

    clock: task.Clock
    depots_by_address: dict[str, texts.TextDepot]
    sent: list[str] = dataclasses.field(default_factory=list)
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    is_spoiled: bool = False
    # Bytes of answers that the link carries in a second, and seconds that
    # the way takes beside.
    rate: float = math.inf
    way: float = 0.004

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        self.sent.append(address)
        self.bodies.append(request.body)
        await task.deferLater(self.clock, self.way)
        depot = self.depots_by_address.get(address)
        if depot is None:
            left = deadline - self.clock.seconds()
            await task.deferLater(self.clock, left)
            raise http_exchange.ExchangeBroken('no whole answer in time')
        page = await depot.handle(
            small_server.SmallRequest(
                method=request.method,
                target=request.target,
                body=request.body,
            )
        )
        await task.deferLater(self.clock, len(page.body) / self.rate)
        if self.clock.seconds() > deadline:
            raise http_exchange.ExchangeBroken('no whole answer in time')
        head = http_exchange.ReplyHead(status=page.status, headers=())
        body = b'spoiled' if self.is_spoiled else page.body
        return http_exchange.Reply(head=head, body=body)


class DepotTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.depot = texts.TextDepot(self.clock)

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

    def test_texts_are_given_out_once(self) -> None:
        self.assertEqual(200, self.receive(text('a', 3)))
        self.assertEqual([text('a', 3)], self.depot.take(world.SERVICE))
        self.assertEqual([], self.depot.take(world.SERVICE))

    def test_new_events_follow_those_that_came_before(self) -> None:
        self.receive(text('a', 3))
        self.assertEqual(200, self.receive(text('a', 2), first=3, number=2))
        self.assertEqual([text('a', 5)], self.depot.take(world.SERVICE))

    def test_events_without_those_before_are_refused(self) -> None:
        self.assertEqual(409, self.receive(text('a', 2), first=3))
        self.receive(text('a', 1))
        self.assertEqual(409, self.receive(text('a', 2), first=3, number=2))
        self.assertEqual([text('a', 1)], self.depot.take(world.SERVICE))

    def test_events_of_two_holders_are_not_mixed(self) -> None:
        """A sample would have the beginning of one text and another's end.

        1. A holder that is cut off from the store still copies its texts.
        2. The next holder generates the same items anew, and copies them.
        3. What the first one adds doesn't follow what the second has made.
        """
        self.receive(text('a', 6), source='old')
        self.receive(text('a', 4, size=9), source='new')
        status = self.receive(text('a', 1), first=4, source='old', number=2)
        self.assertEqual(409, status)
        found = self.depot.take(world.SERVICE)
        self.assertEqual([text('a', 4, size=9)], found)

    def test_a_message_that_was_overtaken_is_refused(self) -> None:
        # Its sender gave it up and has begun the text anew since then.
        self.receive(text('a', 3))
        self.receive(text('a', 5, size=9), number=3)
        status = self.receive(text('a', 1), first=3, number=2)
        self.assertEqual(409, status)
        found = self.depot.take(world.SERVICE)
        self.assertEqual([text('a', 5, size=9)], found)

    def test_a_text_that_was_begun_anew_replaces_the_old_one(self) -> None:
        self.receive(text('a', 6))
        self.receive(text('a', 2, size=9), number=2)
        found = self.depot.take(world.SERVICE)
        self.assertEqual([text('a', 2, size=9)], found)

    def test_old_texts_are_dropped(self) -> None:
        self.receive(text('a', 3))
        self.run_for(texts.KEPT_SECONDS + 0.1, step=0.1)
        self.assertEqual([], self.depot.take(world.SERVICE))

    def test_no_more_than_a_number_is_kept(self) -> None:
        names = [f'i{n}' for n in range(texts.MAX_TEXTS + 20)]
        self.receive(*(text(name, 1) for name in names))
        found = self.depot.take(world.SERVICE)
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

    def test_an_empty_message_is_taken(self) -> None:
        self.assertEqual(200, self.receive())

    def test_what_is_no_text_is_refused(self) -> None:
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
            f'{name}:2': texts.TextDepot(self.clock) for name in 'bcd'
        }
        self.links = Links(self.clock, dict(self.depots))
        self.me = self.state('a')
        for name in 'abcd':
            world.list_instance(self.me, name)
        self.sender = texts.TextSender(self.me, self.links, self.clock)

    def hand_on(self, *found: PartialText) -> None:
        self.finish(self.sender.hand_on(world.SERVICE, found))

    def test_the_next_two_candidates_get_them(self) -> None:
        self.hand_on(text('a', 3))
        self.assertEqual(2, len(self.links.sent))
        for address in self.links.sent:
            found = self.depots[address].take(world.SERVICE)
            self.assertEqual([text('a', 3)], found)

    def test_speeds_go_with_texts_from_time_to_time(self) -> None:
        """Guards against what is known of engines lost with their holder."""
        self.sender.speeds_of = lambda service: [speed()]
        self.hand_on(text('a', 3))
        self.hand_on(text('a', 4))
        told = [
            len(msgspec.msgpack.decode(body, type=texts.HandedTexts).speeds)
            for body in self.links.bodies
        ]
        self.assertEqual([1, 1, 0, 0], told)
        for address in self.links.sent[:2]:
            found = self.depots[address].take_speeds(world.SERVICE)
            self.assertEqual(['e'], [record.target for record in found])

    def test_those_that_leave_get_none(self) -> None:
        record = self.me.instances_by_id['b']
        self.me.instances_by_id['b'] = msgspec.structs.replace(
            record, is_leaving=True
        )
        self.hand_on(text('a', 3))
        self.assertEqual({'c:2', 'd:2'}, set(self.links.sent))

    def test_a_dead_receiver_does_not_hold_the_stop_up(self) -> None:
        self.links.depots_by_address.clear()
        started_at = self.clock.seconds()
        self.hand_on(text('a', 3))
        took = self.clock.seconds() - started_at
        self.assertLess(took, texts.ANSWER_SECONDS + 0.1)

    def test_the_first_texts_go_where_all_are_too_many(self) -> None:
        size = texts.MAX_BYTES // 10
        self.hand_on(*(text(f'i{n}', 1, size) for n in range(12)))
        found = self.depots[self.links.sent[0]].take(world.SERVICE)
        self.assertEqual([f'i{n}' for n in range(10)], [t.item for t in found])


class PlannedStopTest(runner_world.RunnerTest):
    """An instance that runs a job is restarted by its operator."""

    def test_texts_go_on_where_they_were(self) -> None:
        """In a rolling restart 242 texts were made from the start again.

        1. The holder of the duty stops as planned, its texts half done.
        2. It hands them on, and the next holder takes the duty.
        3. Each run goes on after its last event; nothing is made twice.
        """
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.2
        first = self.hold('a')
        self.submit()
        self.run_for(1.1)
        begun = len(self.engines.runs)
        left = first.left_texts()
        first.stop()
        second = self.hold('b', left)
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))
        for result in self.results():
            self.assertEqual(runner_world.whole_text(), result.text)
        self.assertTrue(all(f > 0 for _, f in self.engines.runs[begun:]))
        second.stop()

    def test_a_result_that_was_not_listed_is_not_made_again(self) -> None:
        # The holder stops between the end of a text and its listing.
        first = self.hold('a')
        self.submit()
        while not first.left_texts() or not all(
            found.is_whole for found in first.left_texts()
        ):
            self.run_for(0.01)
        begun = len(self.engines.runs)
        left = first.left_texts()
        first.stop()
        self.hold('b', left)
        self.run_for(2.0)
        self.assertEqual(4, len(self.results()))
        self.assertEqual(begun, len(self.engines.runs))


class DepartureTest(world.WorldTest):
    """An instance is stopped while the store is away."""

    def setUp(self) -> None:
        super().setUp()
        self.links = Links(self.clock, {'b:2': texts.TextDepot(self.clock)})
        self.me = self.state('a')
        for name in 'ab':
            world.list_instance(self.me, name)
        self.own = self.store()
        session = session_module.Session(
            self.me, self.own, lambda: None, self.clock
        )
        self.finish(session.lease.open())
        self.released: list[float] = []
        depot = texts.TextDepot(self.clock)
        self.finish(
            depot.handle(
                small_server.SmallRequest(
                    method='POST',
                    target=texts.PATH,
                    body=message(text('x', 2)),
                )
            )
        )
        self.leaving = departure.Departure(
            session,
            {world.SERVICE: self},
            {},
            depot,
            texts.TextSender(self.me, self.links, self.clock),
            self.clock,
        )

    async def release(self) -> None:
        """Stand in for a duty that is given back."""
        self.released.append(self.clock.seconds())

    def test_the_duty_is_given_back_once_the_store_is_back(self) -> None:
        """No text was generated for a lease after each restart.

        1. The store is away in the moment of the signal to stop.
        2. It is back a second later; the instance serves for some more.
        3. The others are told then, and the duty is given back.
        """
        self.me.is_leaving = True
        self.own.refuses = True
        self.clock.callLater(1.0, setattr, self.own, 'refuses', False)
        self.finish(self.leaving.leave())
        self.assertEqual(1, len(self.released))
        self.assertLess(self.released[0], 1.5)

    def test_texts_kept_for_somebody_else_go_on_too(self) -> None:
        """Two instances restarted in a row lost the texts of the first.

        1. The first hands its texts to the second, which is next in line.
        2. The second is stopped before it takes the duty.
        """
        self.finish(self.leaving.leave())
        found = self.links.depots_by_address['b:2'].take(world.SERVICE)
        self.assertEqual([text('x', 2)], found)


class StandbyTest(runner_world.RunnerTest):
    """A holder's machine loses power in the middle of a job."""

    def setUp(self) -> None:
        super().setUp()
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.2
        self.depot = texts.TextDepot(self.clock)
        self.links = Links(self.clock, {'b:2': self.depot})
        self.me = self.state('a')
        for name in 'ab':
            world.list_instance(self.me, name)
        self.sender = texts.TextSender(self.me, self.links, self.clock)
        self.fetcher = text_fetch.TextFetcher(self.me, self.links, self.clock)

    def copy_from(
        self, runner: runner_module.Runner
    ) -> text_copier.StandbyCopy:
        found = text_copier.StandbyCopy(
            world.SERVICE, runner.open_texts, self.sender, self.clock
        )
        found.start()
        self.addCleanup(found.stop)
        return found

    def test_texts_go_on_where_the_last_copy_was(self) -> None:
        """A step took 5 s more after its holder's machine lost power.

        1. The holder copies what is new of its texts to the next candidate.
        2. It is gone without a word; its lease ends.
        3. The next holder goes on after the copied events.
        """
        first = self.hold('a')
        copying = self.copy_from(first)
        self.submit()
        self.run_for(1.5)
        begun = len(self.engines.runs)
        first.stop()
        copying.stop()
        self.run_for(2.5)
        self.hold('b', self.depot.take(world.SERVICE))
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))
        for result in self.results():
            self.assertEqual(runner_world.whole_text(), result.text)
        resumed = [first for _, first in self.engines.runs[begun:]]
        self.assertGreaterEqual(min(resumed), 4)

    def test_only_what_is_new_is_sent(self) -> None:
        # Half a second of 100 runs is 20 kB, their texts are 500 kB.
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

    def test_a_peer_that_lost_its_copy_gets_all_again(self) -> None:
        first = self.hold('a')
        self.copy_from(first)
        self.submit()
        self.run_for(0.8)
        self.depot.take(world.SERVICE)
        self.run_for(1.0)
        found = self.depot.take(world.SERVICE)
        self.assertEqual(4, len(found))
        self.assertGreater(min(len(each.parts) for each in found), 2)

    def test_a_holder_that_crashed_fetches_its_own_texts(self) -> None:
        """A process that was back after half a second began all anew.

        1. The holder's process is killed and started again.
        2. It takes its own duty back before its lease ends.
        3. Its last copy is at the next candidate, and it goes on from there.
        """
        first = self.hold('a')
        copying = self.copy_from(first)
        self.submit()
        self.run_for(1.5)
        begun = len(self.engines.runs)
        first.stop()
        copying.stop()
        again = text_fetch.TextFetcher(self.me, self.links, self.clock)
        self.hold('a', self.finish(again.fetch(world.SERVICE)).texts)
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))
        resumed = [first for _, first in self.engines.runs[begun:]]
        self.assertGreaterEqual(min(resumed), 4)

    def test_a_large_copy_comes_in_parts(self) -> None:
        """Eight open steps began anew though a neighbour had their texts.

        1. A holder with 300 texts of 10 kB is lost.
        2. Its successor has a link of 60 Mbit/s, which carries them in 0.4 s.
        """
        copied = [text(f'i{each}', 100, size=100) for each in range(300)]
        self.finish(self.sender.hand_on(world.SERVICE, copied[:150]))
        self.finish(self.sender.hand_on(world.SERVICE, copied[150:]))
        self.links.rate = 7_500_000.0
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(300, len(found.texts))

    def test_a_copy_from_another_region_asks_few_questions(self) -> None:
        """A holder that was back waited 0.9 s for 268 texts."""
        copied = [text(f'i{each}', 75, size=100) for each in range(268)]
        self.finish(self.sender.hand_on(world.SERVICE, copied[:134]))
        self.finish(self.sender.hand_on(world.SERVICE, copied[134:]))
        self.links.rate, self.links.way = 7_500_000.0, 0.1
        started_at = self.clock.seconds()
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(268, len(found.texts))
        # The bytes, and the way for a first part and those that follow.
        self.assertLess(self.clock.seconds() - started_at, 0.3 + 5 * 0.1)

    def test_the_store_is_read_where_the_standby_gives_nothing(self) -> None:
        """A new holder read megabytes of the store, and used none of them."""
        self.finish(self.sender.hand_on(world.SERVICE, [text('a', 3)]))
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

    def test_the_store_is_read_after_a_loss_of_all(self) -> None:
        """A holder that was back took an empty copy for a whole one.

        All processes are killed and start again: the standby that the last
        holder's record names answers, and has nothing.
        """

        async def read() -> list[PartialText]:
            return [text('a', 30)]

        newest = self.fetcher.newest(world.SERVICE, 'b:2', read)
        self.assertEqual([text('a', 30)], self.finish(newest))

    def test_nothing_is_waited_for_long(self) -> None:
        # Everybody lost power, or the peers are cut off.
        self.links.depots_by_address.clear()
        started_at = self.clock.seconds()
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(text_fetch.FetchedTexts([]), found)
        took = self.clock.seconds() - started_at
        self.assertLess(took, text_fetch.FETCH_SECONDS + 0.1)

    def test_what_is_no_copy_is_left_out(self) -> None:
        self.links.is_spoiled = True
        found = self.finish(self.fetcher.fetch(world.SERVICE))
        self.assertEqual(text_fetch.FetchedTexts([]), found)

    def test_a_dead_peer_is_asked_once_in_a_while(self) -> None:
        self.links.depots_by_address.clear()
        self.copy_from(self.hold('a'))
        self.submit()
        self.run_for(2.0)
        self.assertLessEqual(len(self.links.sent), 2)
