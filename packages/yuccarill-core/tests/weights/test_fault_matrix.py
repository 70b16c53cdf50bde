"""Test each fault in each state of an engine during a rollout."""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING
import unittest

from nose2.tools import params

from weights import fleet as fleet_module
from weights.test_rollout import build
from yuccarill.core.ids import Epoch
from yuccarill.core.weights.record import WeightState

if TYPE_CHECKING:
    from collections.abc import Callable

SETTLE_SECONDS = 300
STEADY_SECONDS = 12


class Fault(enum.Enum):
    """A fault of an engine, a holder or the store."""

    ORDER_LOST = 'order lost'
    REPLY_LOST = 'reply lost after the effect'
    KILLED = 'engine killed'
    RESTARTED = 'engine restarted with an old version'
    FROZEN = 'engine frozen'
    SILENT = 'connection silent'
    SWAP_FAILED = 'swap failed'
    EPOCH_REFUSED = 'old epoch refused'
    EPOCH_IGNORED = 'delayed order of an old holder obeyed'
    HOLDER_CRASHED = 'holder of the engine crashed'
    HOLDER_PAUSED = 'holder of the engine paused past its lease'
    MODEL_HOLDER_CRASHED = 'holder of the model crashed'
    STORE_SLOW = 'weight store slow'
    STORE_DOWN = 'weight store down'
    RATE_LIMITED = 'weight store over its rate'
    NEWER_VERSION = 'newer version arrives'


class FaultScenario:
    """Bring one engine to a state, then inject a fault."""

    def __init__(self) -> None:
        self.fleet = build(4, 2, 0.5, shards=2)
        self.engine = self.fleet.engines[0]
        self.holder = self.fleet.holders[0]

    def reach(self, state: WeightState) -> bool:
        """Run until the model's holder sees the engine in a state."""
        fleet, engine = self.fleet, self.engine
        if state is not WeightState.SERVING:
            fleet.store_newest = 2
        if state is WeightState.FAILED:
            engine.failures_left = 1
        if state is WeightState.LOST:
            engine.is_up = False
            fleet.at(15, lambda: engine.is_up or engine.restart(1))
        if state is WeightState.UNKNOWN:
            return True
        return fleet.run(30, lambda: self._record_state() is state)

    def inject(self, fault: Fault) -> None:
        """Inject a fault."""
        fleet, engine = self.fleet, self.engine
        match fault:
            case Fault.ORDER_LOST:
                engine.lost_orders = 1
            case Fault.REPLY_LOST:
                engine.lost_replies = 1
            case Fault.KILLED:
                engine.is_up = False
                fleet.at(20, lambda: engine.restart(engine.version))
            case Fault.RESTARTED:
                engine.restart(1)
            case Fault.FROZEN:
                engine.frozen_until = fleet.now + 15
            case Fault.SILENT:
                engine.silent_orders = 1
            case Fault.SWAP_FAILED:
                engine.failures_left = 2
            case Fault.EPOCH_REFUSED:
                engine.checks_fencing = True
                engine.epoch = Epoch(self.holder.epoch + 1)
                fleet.at(5, lambda: fleet.crash_holder(self.holder))
            case Fault.EPOCH_IGNORED:
                engine.checks_fencing = False
                engine.version, engine.staged = 0, 0
            case Fault.HOLDER_CRASHED:
                fleet.crash_holder(self.holder)
            case Fault.HOLDER_PAUSED:
                fleet.pause_holder(self.holder)
            case Fault.MODEL_HOLDER_CRASHED:
                fleet.crash_model_holder()
            case Fault.STORE_SLOW:
                fleet.stage_seconds = lambda: 12.0
            case Fault.STORE_DOWN:
                fleet.store_fails_until = fleet.now + 20
            case Fault.RATE_LIMITED:
                fleet.store_busy_until = fleet.now + 6
            case Fault.NEWER_VERSION:
                fleet.store_newest = 3

    def _record_state(self) -> WeightState | None:
        rollout = self.fleet.rollout
        assert rollout is not None
        return rollout.records_by_id[self.engine.name].state


class FaultMatrixTest(unittest.TestCase):
    @params(*itertools.product(WeightState, Fault))
    def test_cell(self, state: WeightState, fault: Fault) -> None:
        # A fault during a rollout must neither leave too few engines serving
        # nor keep an engine from the newest version.
        scenario = FaultScenario()
        self.assertTrue(scenario.reach(state), 'state not reached')
        scenario.inject(fault)
        fleet = scenario.fleet
        fleet.store_newest = max(fleet.store_newest, 2)
        self.assertTrue(fleet.run(SETTLE_SECONDS, fleet.is_done))
        fleet.run(STEADY_SECONDS, lambda: False)
        self.assertTrue(fleet.is_done(), 'a version was lost again')
        self.assertEqual([], fleet.faults)


class TakeoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scenario = FaultScenario()
        self.scenario.fleet.store_newest = 2

    def test_successor_waits_for_the_last_order(self) -> None:
        # A crashed holder's order may still take effect on a frozen engine,
        # so its successor must not count the engine as serving.
        scenario = self.scenario
        self.assertTrue(scenario.reach(WeightState.SWITCHING))
        scenario.fleet.crash_holder(scenario.holder)
        fleet_module.POLL_SECONDS, usual = 0.5, fleet_module.POLL_SECONDS
        self.addCleanup(setattr, fleet_module, 'POLL_SECONDS', usual)
        scenario.fleet.run(fleet_module.TAKEOVER_SECONDS + 1, lambda: False)
        rollout = scenario.fleet.rollout
        assert rollout is not None
        record = rollout.records_by_id[scenario.engine.name]
        self.assertTrue(record.is_busy)
        self.assertFalse(record.is_serving)

    def test_store_that_answers_an_old_version_orders_nothing(self) -> None:
        # A stale answer of the store must not return engines to an older
        # version.
        fleet = self.scenario.fleet
        fleet.run(60, fleet.is_done)
        fleet.store_newest = 1
        fleet.crash_model_holder()
        sent = fleet.orders_sent
        fleet.run(30, lambda: False)
        self.assertEqual(sent, fleet.orders_sent)

    @params(0, 1)
    def test_stale_model_holder_is_rejected(self, age: int) -> None:
        # Orders of a model's holder that resumes after its lease would leave
        # too few engines serving.
        holder = self.scenario.holder
        accept: Callable[[str, int], bool] = (
            holder.engine_orders.accept_model_epoch
        )
        self.assertTrue(accept(fleet_module.MODEL, 5))
        self.assertIs(age == 0, accept(fleet_module.MODEL, 5 - age))
