"""Test that instances share a service's capacity, with and without brokers."""

from __future__ import annotations

import dataclasses

import msgspec
from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity.overview import ServiceOverview
from yuccarill.core import errors
from yuccarill.core.gateway import candidates
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.capacity import broker_server
from yuccarill.daemon.gateway.capacity import control
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway import peer_call

from . import world

NAMES = ('a', 'b', 'c')
DEADLINE_SECONDS = 2.0


@dataclasses.dataclass
class Links:
    """Carry calls between instances, of which some are unreachable."""

    clock: task.Clock
    controls_by_address: dict[str, control.CapacityControl]
    unreachable: set[str]
    calls: int = 0

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        self.calls += 1
        if address in self.unreachable:
            left = deadline - self.clock.seconds()
            await task.deferLater(self.clock, left)
            raise http_exchange.ExchangeFailed('unreachable')
        await task.deferLater(self.clock, 0.001)
        page = await self.controls_by_address[address].handle(
            small_server.SmallRequest(
                method=request.method,
                target=request.target,
                body=request.body,
            )
        )
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)


class CapacityTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.links = Links(self.clock, {}, set())
        self.controls = {name: self.control(name) for name in NAMES}
        cores = dict.fromkeys(NAMES, 1.0)
        purpose = f'capacity {world.SERVICE}'
        self.order = candidates.ordered(cores, purpose)

    def control(self, name: str) -> control.CapacityControl:
        state = self.state(name)
        for other in NAMES:
            world.list_instance(state, other)
        peers = peer_call.PeerCalls(self.links, self.clock)
        capacity = control.CapacityControl(state, peers, self.clock)
        self.links.controls_by_address[f'{name}:2'] = capacity
        return capacity

    def request(self, account: str | None = None) -> CapacityRequest:
        now = self.clock.seconds()
        return CapacityRequest(
            id=RequestId('r'),
            demand_class=DemandClass(
                priority=5, account=account and AccountName(account)
            ),
            arrived_at=Instant(now),
            wanted_by=Instant(now + 0.15),
            deadline=Instant(now + DEADLINE_SECONDS),
        )

    def offer(self, name: str, is_refused: bool) -> errors.Overloaded | None:
        """Offer one request, which a target refuses or answers after 10 ms."""
        found: list[errors.Overloaded] = []
        capacity = self.controls[name]

        async def serve() -> None:
            try:
                await capacity.acquire(world.SERVICE, self.request())
            except errors.Overloaded as error:
                found.append(error)
                return
            with port.record_attempt(
                capacity, world.SERVICE, self.clock
            ) as outcome:
                await task.deferLater(self.clock, 0.01)
                outcome.answer = TargetAnswer(
                    status=503 if is_refused else 200,
                    headers=(),
                    body=b'',
                    signature=None,
                    not_run=is_refused,
                )

        defer.ensureDeferred(serve())
        return found[0] if found else None

    def load(self, seconds: float, refused: int) -> list[errors.Overloaded]:
        """Offer 100 requests/s per instance, with `refused` of ten refused."""
        found = []
        for number in range(round(seconds / 0.01)):
            for name in NAMES:
                found.append(self.offer(name, number % 10 < refused))
            self.run_for(0.01)
        return [each for each in found if each is not None]

    def grants(self) -> int:
        now = Instant(self.clock.seconds())
        return sum(
            capacity.gates_by_service[world.SERVICE].has_grant(now)
            for capacity in self.controls.values()
        )

    def test_uncongested_service_costs_no_message(self) -> None:
        """Guard against messages and refusals without congestion."""
        self.assertEqual([], self.load(2.0, refused=0))
        self.assertEqual(0, self.links.calls)

    def test_congested_service_gets_grants(self) -> None:
        """Guard against requests sent to targets without free slots."""
        refusals = self.load(3.0, refused=8)
        self.assertEqual(len(NAMES), self.grants())
        self.assertTrue(refusals)
        for error in refusals:
            self.assertEqual(errors.ResultCode.OVERLOADED, error.code)
            self.assertTrue(error.not_run)
            self.assertLessEqual(error.retry_after, DEADLINE_SECONDS / 3.0)

    def test_overview_shows_grants_and_demand(self) -> None:
        self.load(3.0, refused=8)
        request = small_server.SmallRequest(
            method='GET', target=broker_server.OVERVIEW_PATH
        )
        page = self.finish(self.controls[self.order[0]].handle(request))
        (shown,) = msgspec.json.decode(page.body, type=list[ServiceOverview])
        self.assertTrue(shown.is_congested)
        self.assertEqual(self.order[0], shown.broker)
        self.assertEqual(4, shown.places)
        self.assertGreater(shown.classes[0].refused, 0.0)
        self.assertGreater(shown.fleet[0].offered, 200.0)

    @params(1, 3)
    def test_unreachable_brokers_stop_no_requests(self, count: int) -> None:
        """Guard against unreachable brokers that stop requests."""
        self.links.unreachable = {f'{name}:2' for name in self.order[:count]}
        self.load(4.0, refused=8)
        before = self.links.calls
        self.assertLess(len(self.load(1.0, refused=8)), 300)
        self.assertLess(self.links.calls - before, 40)

    def test_notified_instance_is_congested(self) -> None:
        """Guard against instances that ignore a congestion they can't see."""
        quiet = self.order[-1]
        self.offer(quiet, False)
        for number in range(200):
            for name in self.order[:-1]:
                self.offer(name, number % 10 < 8)
            self.run_for(0.01)
        gate = self.controls[quiet].gates_by_service[world.SERVICE]
        self.assertTrue(gate.is_congested(Instant(self.clock.seconds())))

    def test_caller_cancelled_while_it_waits(self) -> None:
        """Guard against queue entries that outlive cancelled callers."""
        self.load(3.0, refused=8)
        capacity = self.controls['a']
        waiting = []
        for _ in range(30):
            entering = defer.ensureDeferred(
                capacity.acquire(world.SERVICE, self.request())
            )
            entering.addErrback(lambda failure: None)
            waiting.append(entering)
        for each in waiting:
            each.cancel()
        self.assertEqual(
            {}, capacity.waiting_by_service.get(world.SERVICE, {})
        )
        gate = capacity.gates_by_service[world.SERVICE]
        self.assertIsNone(gate.next_wakeup(Instant(self.clock.seconds())))
