"""Test every fault at every step of a lease, and two faults at once."""

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
# Past the lease and both margins.
PAUSE_SECONDS = 12.0


class Fault(enum.Enum):
    """Name what may happen at a step."""

    SLOW = 'every call takes 1.9 seconds'
    TOO_SLOW = 'every call takes effect, its reply comes too late'
    DOWN = 'the store is away'
    REPLY_LOST = 'the call takes effect, its reply is lost'
    EFFECT_LATE = 'the call takes effect when it was long given up'
    DOUBLED = 'the call takes effect twice'
    PAUSED = 'the process is stopped past its lease'
    CRASHED = 'the process dies and starts again'
    DEAF = 'the process hears of no table from its peers'
    RIVAL = 'another instance believes to be alone'


# The steps at which who may act changes.
DECISIVE = (Step.OPEN, Step.RENEW, Step.TAKE, Step.GIVE, Step.REVOKE)
CELLS = tuple(itertools.product(Step, Fault))
PAIRS = tuple(
    (step, *pair)
    for step in DECISIVE
    for pair in itertools.combinations(Fault, 2)
)


class FaultyWorld(world.World):
    """Do one of each step and meet faults at one of them."""

    def __init__(self, step: Step, faults: tuple[Fault, ...]) -> None:
        super().__init__(('a', 'b', 'c'), tick=TICK)
        self._step_at_fault = step
        self._planned = faults
        self._until = 0.0
        self.is_armed = False
        self.met_by_name: dict[str, operations.Operation] = {}
        self.manner = self._judge

    def play(self) -> None:
        """Crash one holder, start another, stop a third gracefully."""
        self.is_armed = self._step_at_fault in (Step.OPEN, Step.READ_TABLE)
        self.run(8)
        self.is_armed = True
        if self._step_at_fault is Step.FREE:
            # Watchers that may take nothing free what they find.
            for node in self.nodes_by_name.values():
                node.keeper.begin_leaving()
        self.crash('c')
        self.run(FAULT_SECONDS + 2)
        self.start('d')
        self.run(6)
        leaver = 'a' if not self.nodes_by_name['a'].is_dead else 'b'
        self.leave(leaver)
        self.run_until(lambda: self.has_left(leaver), 20)
        self.crash(leaver)
        self.run(PAUSE_SECONDS)
        self.run_until(lambda: self.covered() == shards.SHARD_COUNT, 40)

    def _judge(
        self, node: world.Node, operation: operations.Operation
    ) -> world.Manner:
        is_first = not self.met_by_name
        if operation.step is self._step_at_fault and self.is_armed:
            if is_first:
                self.met_by_name[node.id] = operation
                self._until = self.now + FAULT_SECONDS
                self._begin(node)
        is_here = self.met_by_name.get(node.id) is operation
        manner = world.Manner()
        for fault in self._planned if self.now < self._until else ():
            self._worsen(manner, fault, is_here)
        return manner

    def _worsen(
        self, manner: world.Manner, fault: Fault, is_here: bool
    ) -> None:
        match fault:
            case Fault.SLOW:
                manner.delay = max(manner.delay, 1.9)
            case Fault.TOO_SLOW:
                manner.delay = max(manner.delay, 3.0)
            case Fault.DOWN:
                manner.is_down = manner.is_down or not is_here
            case Fault.REPLY_LOST if is_here:
                manner.loses_reply = True
            case Fault.EFFECT_LATE if is_here:
                manner.loses_reply = True
                manner.delay = 2 * FAULT_SECONDS
            case Fault.DOUBLED if is_here:
                manner.is_doubled = True

    def _begin(self, node: world.Node) -> None:
        if Fault.PAUSED in self._planned:
            node.is_paused = True
            self._at(PAUSE_SECONDS, setattr, node, 'is_paused', False)
        if Fault.DEAF in self._planned:
            node.is_deaf = True
            self._at(FAULT_SECONDS, setattr, node, 'is_deaf', False)
        if Fault.CRASHED in self._planned:
            self._at(0, self.crash, node.id)
            self._at(1, self.start, node.id)
        if Fault.RIVAL in self._planned:
            others = [
                n
                for n in self.nodes_by_name.values()
                if not n.is_dead and n is not node
            ]
            for rival in others[:1]:
                rival.keeper.set_live(())


class FaultMatrixTest(unittest.TestCase):
    def _check(self, step: Step, *faults: Fault) -> None:
        # Whoever asks for a duty must find one instance that acts on it,
        # under an epoch that never goes back, whatever fails at the step;
        # and after the faults have passed every shard is worked on again.
        made = FaultyWorld(step, faults)
        made.play()
        self.assertTrue(made.met_by_name, f'{step} was never done')
        self.assertEqual([], made.faults[:3])
        self.assertEqual(shards.SHARD_COUNT, made.covered())

    @params(*CELLS)
    def test_one_fault(self, step: Step, fault: Fault) -> None:
        self._check(step, fault)

    @params(*PAIRS)
    def test_two_faults_at_once(
        self, step: Step, first: Fault, second: Fault
    ) -> None:
        self._check(step, first, second)
