"""Test the rollout of versions from the store to two instances."""

from __future__ import annotations

import dataclasses
from typing import Any
import unittest

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.config import reader
from yuccarill.core.config import snapshot
from yuccarill.core import errors
from yuccarill.core.membership.instances import Instance
from yuccarill.core.weights import orders
from yuccarill.daemon.adapters.engine_weights import OrderResult
from yuccarill.daemon.controllers import targets
from yuccarill.daemon.controllers import weights
from yuccarill.wire import messages

NAMES = ('a', 'b')
ENGINES = 4
# The first epoch, which has no predecessor to wait for.
EPOCH = 1


def inventory(engines: int = ENGINES) -> Any:
    entries = [
        {
            'id': f'e{n}',
            'model': 'm',
            'address': f'127.0.0.1:{n + 1}',
            'data_centre': 'd',
        }
        for n in range(engines)
    ]
    plain = {'models': [{'name': 'm'}], 'engines': entries}
    return snapshot.from_inventory(reader.from_decoded(plain))


@dataclasses.dataclass
class World:
    """Simulate two instances and their engines on one clock."""

    clock: task.Clock = dataclasses.field(default_factory=task.Clock)
    version: int = 1
    is_store_up: bool = True
    is_cut: bool = False
    requests: int = 0
    # Duties without a valid lease.
    lapsed: set[str] = dataclasses.field(default_factory=set)
    ordered: list[tuple[str, str, int, int]] = dataclasses.field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        self.engines = {f'127.0.0.1:{n + 1}': [1, 0] for n in range(ENGINES)}
        self.instances = {
            name: Instance(
                id=name,
                data_centre='d',
                host='127.0.0.1',
                http_port=1,
                peer_port=2,
            )
            for name in NAMES
        }
        self.boards = {
            name: Blackboard(own_instance=each, snapshot=inventory())
            for name, each in self.instances.items()
        }
        self.parts = {name: self._build(name) for name in NAMES}
        for pair in self.parts.values():
            for part in pair:
                defer.ensureDeferred(part.follow())

    def run(self, seconds: float) -> None:
        self.clock.pump([0.05] * int(seconds / 0.05))

    def versions(self) -> list[int]:
        return [engine[0] for engine in self.engines.values()]

    def holder(self, duty: str) -> str:
        return NAMES[int(duty[-1]) % 2] if duty[0] == 't' else 'a'

    async def newest(self, model: str) -> int:
        if not self.is_store_up:
            raise errors.StoreUnavailable('down')
        return self.version

    async def request(self, peer: Instance, body: Any, seconds: float) -> Any:
        self.requests += 1
        if self.is_cut:
            raise errors.PeerUnavailable('cut')
        target_part, weight_part = self.parts[peer.id]
        if isinstance(body, messages.WeightReports):
            return weight_part.handle(body)
        return await target_part.handle(body)

    async def read(self, address: str) -> orders.TargetState:
        weight, staged = self.engines[address]
        return orders.TargetState(
            model='m',
            weight_version=weight,
            staged_version=staged,
            epoch=1,
            in_flight=0,
            queued=0,
            seen_at=self.clock.seconds(),
        )

    async def order(self, address: str, order: Any, model: str, epoch: int):
        self.ordered.append((address, order.kind.value, order.version, epoch))
        await task.deferLater(self.clock, 0.5, lambda: None)
        engine = self.engines[address]
        if order.kind is orders.OrderKind.STAGE:
            engine[1] = order.version
        else:
            engine[:] = [order.version, 0]
        state = await self.read(address)
        return OrderResult(orders.OrderOutcome.DONE, state)

    def _build(self, name: str) -> tuple[Any, Any]:
        board, leases = self.boards[name], Leases(self, name)
        holder = targets.TargetController(
            board, leases, self, self, self.clock
        )
        planner = weights.WeightController(
            board, leases, self, holder, self, 50.0, self.clock
        )
        return holder, planner


class Leases:
    """Simulate the leases of one instance."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name

    def epoch_for(self, duty: str) -> int | None:
        is_held = self._world.holder(duty) == self._name
        return EPOCH if is_held and duty not in self._world.lapsed else None

    def holder_of(self, duty: str) -> Instance:
        return self._world.instances[self._world.holder(duty)]


class WeightsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.world.run(12)
        self.world.version = 2

    def test_version_reaches_engines_of_both_instances(self) -> None:
        self.world.run(12)
        self.assertEqual([2] * ENGINES, self.world.versions())
        self.assertEqual(2 * ENGINES, len(self.world.ordered))
        self.assertEqual({EPOCH}, {order[3] for order in self.world.ordered})
        found = self.world.boards['b'].targets_by_id['e1'].weight_version
        self.assertEqual(2, found)

    @params(False, True)
    def test_restarted_engine_is_brought_up(self, is_cut: bool) -> None:
        # Guards against losing a report on a restarted engine with an old
        # version: it is resent until it arrives.
        self.world.run(12)
        self.world.engines['127.0.0.1:2'][:] = [1, 0]
        self.world.is_cut = is_cut
        self.world.run(8)
        self.world.is_cut = False
        self.world.run(8)
        self.assertEqual([2] * ENGINES, self.world.versions())

    @params('target/e1', 'model/m')
    def test_lapsed_lease_orders_nothing(self, duty: str) -> None:
        # Guards against orders from a holder whose lease lapsed during a
        # pause.
        self.world.lapsed.add(duty)
        self.world.run(6)
        self.assertEqual(1, self.world.versions()[1])
        self.assertLess(self.world.requests, 30)
        self.world.lapsed.clear()
        self.world.run(8)
        self.assertEqual([2] * ENGINES, self.world.versions())

    def test_lease_is_checked_right_before_an_order(self) -> None:
        # The lease lapses after the last run recorded the target as held.
        self.world.lapsed.add('target/e1')
        order = orders.Order(99, 'e1', orders.OrderKind.STAGE, 2)
        body = messages.WeightOrders(model='m', epoch=EPOCH, orders=(order,))
        defer.ensureDeferred(self.world.parts['b'][0].handle(body))
        self.assertEqual([], self.world.ordered)

    def test_store_outage_only_delays(self) -> None:
        self.world.is_store_up = False
        self.world.run(12)
        self.assertEqual([], self.world.ordered)
        self.world.is_store_up = True
        self.world.run(12)
        self.assertEqual([2] * ENGINES, self.world.versions())

    def test_target_that_left_gets_no_order(self) -> None:
        # Guards against polling or ordering an engine that was removed from
        # the inventory, and against a rollout waiting for it.
        for board in self.world.boards.values():
            board.snapshot = inventory(ENGINES - 1)
        self.world.run(12)
        self.assertEqual([2, 2, 2, 1], self.world.versions())
        self.assertNotIn('e3', self.world.boards['b'].targets_by_id)
