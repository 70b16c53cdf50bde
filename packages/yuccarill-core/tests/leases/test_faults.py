"""Test each fault, and each pair of faults, at each step of a lease."""

from __future__ import annotations

import enum
import itertools
import unittest

from nose2.tools import params

from leases import world
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import shards

TICK = 0.5
FAULT_SECONDS = 9.0
# Longer than the lease and both drift margins.
PAUSE_SECONDS = 12.0


class Fault(enum.Enum):
    """A fault that occurs at a step."""

    SLOW = 'every call takes 1.9 seconds'
    TOO_SLOW = 'every call takes effect, its reply comes too late'
    DOWN = 'the store is unavailable'
    REPLY_LOST = 'the call takes effect, its reply is lost'
    EFFECT_LATE = 'the call takes effect long after its timeout'
    DUPLICATED = 'the call takes effect twice'
    PAUSED = 'the process is paused past its lease'
    CRASHED = 'the process crashes and is restarted'
    LACKS_TABLES = 'the process receives no table from its peers'
    RIVAL = 'another instance sees no live peer'


# The steps at which the right to act changes.
DECISIVE = (Step.OPEN, Step.RENEW, Step.CLAIM, Step.TRANSFER, Step.REVOKE)
CELLS = tuple(itertools.product(Step, Fault))
PAIRS = tuple(
    (step, *pair)
    for step in DECISIVE
    for pair in itertools.combinations(Fault, 2)
)


class FaultyWorld(world.World):
    """Run every step once, with faults at one of them."""

    def __init__(self, step: Step, faults: tuple[Fault, ...]) -> None:
        super().__init__(('a', 'b', 'c'), tick=TICK)
        self._step_at_fault = step
        self._planned_faults = faults
        self._until = 0.0
        self.is_armed = False
        self.faulted_by_name: dict[str, operations.Operation] = {}
        self.mode = self._mode_of_call

    def run_scenario(self) -> None:
        """Crash a holder, start an instance, stop a holder gracefully."""
        self.is_armed = self._step_at_fault in (Step.OPEN, Step.READ_TABLE)
        self.run(8)
        self.is_armed = True
        if self._step_at_fault is Step.RELEASE:
            # Watchers that are leaving claim no shards but free them.
            for node in self.nodes_by_name.values():
                node.manager.begin_leaving()
        self.crash('c')
        self.run(FAULT_SECONDS + 2)
        self.start('d')
        self.run(6)
        leaving = 'a' if not self.nodes_by_name['a'].is_dead else 'b'
        self.leave(leaving)
        self.run_until(lambda: self.has_left(leaving), 20)
        self.crash(leaving)
        self.run(PAUSE_SECONDS)
        self.run_until(lambda: self.covered() == shards.SHARD_COUNT, 40)

    def _mode_of_call(
        self, node: world.Node, operation: operations.Operation
    ) -> world.CallMode:
        is_first = not self.faulted_by_name
        if operation.step is self._step_at_fault and self.is_armed:
            if is_first:
                self.faulted_by_name[node.id] = operation
                self._until = self.now + FAULT_SECONDS
                self._begin_faults(node)
        is_faulted_call = self.faulted_by_name.get(node.id) is operation
        mode = world.CallMode()
        for fault in self._planned_faults if self.now < self._until else ():
            self._add_fault(mode, fault, is_faulted_call)
        return mode

    def _add_fault(
        self, mode: world.CallMode, fault: Fault, is_faulted_call: bool
    ) -> None:
        match fault:
            case Fault.SLOW:
                mode.delay = max(mode.delay, 1.9)
            case Fault.TOO_SLOW:
                mode.delay = max(mode.delay, 3.0)
            case Fault.DOWN:
                mode.is_down = mode.is_down or not is_faulted_call
            case Fault.REPLY_LOST if is_faulted_call:
                mode.loses_reply = True
            case Fault.EFFECT_LATE if is_faulted_call:
                mode.loses_reply = True
                mode.delay = 2 * FAULT_SECONDS
            case Fault.DUPLICATED if is_faulted_call:
                mode.is_duplicated = True

    def _begin_faults(self, node: world.Node) -> None:
        if Fault.PAUSED in self._planned_faults:
            node.is_paused = True
            self._at(PAUSE_SECONDS, setattr, node, 'is_paused', False)
        if Fault.LACKS_TABLES in self._planned_faults:
            node.lacks_tables = True
            self._at(FAULT_SECONDS, setattr, node, 'lacks_tables', False)
        if Fault.CRASHED in self._planned_faults:
            self._at(0, self.crash, node.id)
            self._at(1, self.start, node.id)
        if Fault.RIVAL in self._planned_faults:
            others = [
                n
                for n in self.nodes_by_name.values()
                if not n.is_dead and n is not node
            ]
            for rival in others[:1]:
                rival.manager.set_live(())


class FaultMatrixTest(unittest.TestCase):
    def _check(self, step: Step, *faults: Fault) -> None:
        # Guards against two holders of a shard, an epoch that decreases,
        # and a shard without a holder after the faults have ended.
        cluster = FaultyWorld(step, faults)
        cluster.run_scenario()
        self.assertTrue(cluster.faulted_by_name, f'{step} was never reached')
        self.assertEqual([], cluster.faults[:3])
        self.assertEqual(shards.SHARD_COUNT, cluster.covered())

    @params(*CELLS)
    def test_one_fault(self, step: Step, fault: Fault) -> None:
        self._check(step, fault)

    @params(*PAIRS)
    def test_two_faults_at_once(
        self, step: Step, first: Fault, second: Fault
    ) -> None:
        self._check(step, first, second)
