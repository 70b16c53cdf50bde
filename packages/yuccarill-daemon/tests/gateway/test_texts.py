"""Test how unfinished texts reach the next holder of a duty."""

from __future__ import annotations

import dataclasses

import msgspec
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.left_text import LeftText
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway import departure
from yuccarill.daemon.gateway import session as session_module
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway import texts

from . import runner_world
from . import world


def text(name: str, parts: int, size: int = 4) -> LeftText:
    return LeftText(
        item=ItemId(name),
        body_digest=b'b',
        scoring_digest=b's',
        parts=tuple('x' * size for _ in range(parts)),
        versions=(WeightVersion(1),),
    )


@dataclasses.dataclass
class Links:
    """Carry texts to the depots of peers; others do not answer."""

    clock: task.Clock
    depots_by_address: dict[str, texts.TextDepot]
    sent: list[str] = dataclasses.field(default_factory=list)

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        self.sent.append(address)
        await task.deferLater(self.clock, 0.004)
        depot = self.depots_by_address.get(address)
        if depot is None:
            left = deadline - self.clock.seconds()
            await task.deferLater(self.clock, left)
            raise http_exchange.ExchangeBroken('no whole answer in time')
        page = await depot.receive(
            small_server.SmallRequest(
                method='POST', target=request.target, body=request.body
            )
        )
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)


def list_instances(state: state_module.GatewayState, names: str) -> None:
    for name in names:
        state.instances_by_id[name] = state_module.InstanceRecord(
            instance=name,
            data_centre='d',
            client_address=f'{name}:1',
            peer_address=f'{name}:2',
        )


class DepotTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.depot = texts.TextDepot(self.clock)

    def receive(self, *found: LeftText) -> int:
        body = msgspec.msgpack.encode(
            texts.HandedTexts(service=world.SERVICE, texts=found)
        )
        request = small_server.SmallRequest(
            method='POST', target=texts.PATH, body=body
        )
        return self.finish(self.depot.receive(request)).status

    def test_texts_are_given_out_once(self) -> None:
        self.assertEqual(200, self.receive(text('a', 3)))
        self.assertEqual([text('a', 3)], self.depot.take(world.SERVICE))
        self.assertEqual([], self.depot.take(world.SERVICE))

    def test_the_longer_text_is_kept(self) -> None:
        # A holder that could not give its duty back hands on twice; the
        # two may cross.
        self.receive(text('a', 3))
        self.receive(text('a', 5))
        self.receive(text('a', 4))
        self.assertEqual([text('a', 5)], self.depot.take(world.SERVICE))

    def test_old_texts_are_dropped(self) -> None:
        self.receive(text('a', 3))
        self.run_for(texts.KEPT_SECONDS + 0.1, step=0.1)
        self.assertEqual([], self.depot.take(world.SERVICE))

    def test_no_more_than_a_number_is_kept(self) -> None:
        names = [f'i{n}' for n in range(texts.MAX_KEPT + 20)]
        self.receive(*(text(name, 1) for name in names))
        found = self.depot.take(world.SERVICE)
        self.assertEqual(texts.MAX_KEPT, len(found))

    def test_what_is_no_text_is_refused(self) -> None:
        for body in (b'', b'\x00', b'{}', b'\x81\xa7service\xa1e'):
            request = small_server.SmallRequest(
                method='POST', target=texts.PATH, body=body
            )
            page = self.finish(self.depot.receive(request))
            self.assertEqual(400, page.status)


class SenderTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.depots = {
            f'{name}:2': texts.TextDepot(self.clock) for name in 'bcd'
        }
        self.links = Links(self.clock, dict(self.depots))
        self.me = self.state('a')
        list_instances(self.me, 'abcd')
        self.sender = texts.TextSender(self.me, self.links, self.clock)

    def hand_on(self, *found: LeftText) -> None:
        self.finish(self.sender.hand_on(world.SERVICE, found))

    def test_the_next_two_candidates_get_them(self) -> None:
        self.hand_on(text('a', 3))
        self.assertEqual(2, len(self.links.sent))
        for address in self.links.sent:
            found = self.depots[address].take(world.SERVICE)
            self.assertEqual([text('a', 3)], found)

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
        list_instances(self.me, 'ab')
        self.own = self.store()
        session = session_module.Session(
            self.me, self.own, lambda: None, self.clock
        )
        self.finish(session.lease.open())
        self.released: list[float] = []
        depot = texts.TextDepot(self.clock)
        self.finish(
            depot.receive(
                small_server.SmallRequest(
                    method='POST',
                    target=texts.PATH,
                    body=msgspec.msgpack.encode(
                        texts.HandedTexts(
                            service=world.SERVICE, texts=(text('x', 2),)
                        )
                    ),
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
