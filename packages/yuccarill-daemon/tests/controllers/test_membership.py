"""Test membership views under faults, on a simulated clock."""

from __future__ import annotations

import enum
import itertools
import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
import msgspec
from nose2.tools import params

from yuccarill.core.membership.instances import InstanceState
from yuccarill.core.membership.member import MemberState

from . import memory_fleet

SIZE = 9
TARGET = 'i5'
OTHERS = {f'i{n}' for n in range(SIZE)} - {TARGET}


class Fault(enum.Enum):
    ONE_WAY_CUT = 'one-way cut'
    SILENT_STREAM = 'silent stream'
    LAGGING_LIST = 'lagging list'
    LIST_DOWN = 'list down'
    RESTART = 'restart under the same address'
    CRASH = 'crash'
    PAUSE = 'pause longer than suspicion'
    DOUBLED_GOSSIP = 'doubled and reordered gossip'


S, F = MemberState, Fault
LIVES = {
    **{(S.ALIVE, f): f is not F.CRASH for f in F},
    **{(S.SUSPECT, f): f is not F.CRASH for f in F},
    # The list still shows the target as leaving, unless it restarted.
    **{(S.LISTED_LEAVING, f): f is F.RESTART for f in F},
    **{(S.LEAVING, f): f is F.RESTART for f in F},
    **{(S.GONE, f): f is F.RESTART for f in F},
}


def enter(fleet: memory_fleet.Fleet, state: MemberState) -> None:
    """Bring the target into a state known to all others."""
    target = fleet.processes_by_id[TARGET]
    match state:
        case MemberState.SUSPECT:
            target.clock.is_paused = True
            fleet.pass_time(6.0)
        case MemberState.LISTED_LEAVING:
            fleet.list_as(TARGET, InstanceState.LEAVING)
            fleet.pass_time(6.0)
        case MemberState.LEAVING:
            target.controller.leave()
            fleet.pass_time(3.0)
        case MemberState.GONE:
            fleet.crash(TARGET)
            fleet.pass_time(4.0)
            del fleet.listed_by_id[TARGET]
            fleet.pass_time(10.0)


def strike(fleet: memory_fleet.Fleet, fault: Fault) -> None:
    """Inject a fault that affects the target."""
    target = fleet.processes_by_id[TARGET]
    match fault:
        case Fault.ONE_WAY_CUT:
            fleet.cut |= {('i1', TARGET), ('i2', TARGET), ('i3', TARGET)}
        case Fault.SILENT_STREAM:
            pairs = [('i1', TARGET), ('i2', TARGET)]
            fleet.cut |= {*pairs, *(pair[::-1] for pair in pairs)}
        case Fault.LAGGING_LIST:
            fleet.listed_by_id.pop('i1')
            fleet.listed_by_id.pop(TARGET, None)
        case Fault.LIST_DOWN:
            fleet.is_list_down = True
        case Fault.RESTART:
            fleet.restart(TARGET)
        case Fault.CRASH:
            fleet.crash(TARGET)
        case Fault.PAUSE:
            target.clock.is_paused = True
            fleet.pass_time(10.0)
        case Fault.DOUBLED_GOSSIP:
            fleet.is_doubling = True
    if not target.is_down:
        target.clock.resume()


class FaultMatrixTest(unittest.TestCase):
    @params(*itertools.product(MemberState, Fault))
    def test_members_agree_after_a_fault(
        self, state: MemberState, fault: Fault
    ) -> None:
        # Guards against instances disagreeing on the members after a fault.
        # The target counts only if it runs, is reachable by most and is not
        # leaving.
        fleet = memory_fleet.Fleet(SIZE)
        fleet.pass_time(4.0)
        enter(fleet, state)
        strike(fleet, fault)
        fleet.pass_time(12.0)
        expected = OTHERS | ({TARGET} if LIVES[state, fault] else set())
        self.assertEqual({frozenset(expected)}, fleet.views(TARGET))


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = memory_fleet.Fleet(SIZE)
        self.fleet.pass_time(4.0)

    def test_leaving_is_known_everywhere_in_two_seconds(self) -> None:
        self.fleet.processes_by_id[TARGET].controller.leave()
        self.fleet.pass_time(2.0)
        self.assertEqual({frozenset(OTHERS)}, self.fleet.views())

    def test_leaving_instance_gets_updates(self) -> None:
        # Guards against a leaving instance sending callers to an instance that
        # crashed meanwhile.
        leaving = self.fleet.processes_by_id[TARGET]
        leaving.controller.leave()
        self.fleet.pass_time(1.0)
        self.fleet.crash('i1')
        self.fleet.pass_time(4.0)
        self.assertEqual(OTHERS - {'i1'}, leaving.live_ids())

    def test_instance_that_only_sends_stays_excluded(self) -> None:
        # Guards against listing a target that can connect to others but is
        # unreachable itself; its own probes must not clear the suspicion.
        self.fleet.blocked |= {(other, TARGET) for other in OTHERS}
        self.fleet.pass_time(6.0)
        for _ in range(10):
            self.fleet.pass_time(1.0)
            self.assertEqual({frozenset(OTHERS)}, self.fleet.views(TARGET))

    def test_isolated_instance_suspects_nobody(self) -> None:
        # Guards against an instance whose outgoing packets are lost suspecting
        # all others.
        self.fleet.cut |= {(TARGET, other) for other in OTHERS}
        self.fleet.pass_time(10.0)
        seen = self.fleet.processes_by_id[TARGET].live_ids()
        self.assertTrue(seen >= OTHERS, OTHERS - seen)

    def test_resumed_instance_suspects_nobody(self) -> None:
        # Guards against an instance suspecting others when it resumes after a
        # pause and all its probe timeouts have expired.
        target = self.fleet.processes_by_id[TARGET]
        for moment in range(10):
            target.clock.is_paused = True
            self.fleet.pass_time(3.0 + moment * 0.1)
            target.clock.resume()
            self.assertTrue(OTHERS.issubset(target.live_ids()))
            self.fleet.pass_time(2.0)
            self.assertTrue(OTHERS.issubset(target.live_ids()))

    @params('down', 'split')
    def test_isolated_data_centre_rejoins(self, listing) -> None:
        # Guards against a split fleet failing to rejoin, also if the list is
        # down or shows each side only its own members.
        self.fleet.is_list_down = listing == 'down'
        self.fleet.is_list_split = listing == 'split'
        near = {p.me.id for p in self.fleet.up() if p.me.data_centre == 'dc0'}
        far = set(self.fleet.processes_by_id) - near
        both = set(itertools.product(near, far))
        self.fleet.cut = both | {pair[::-1] for pair in both}
        self.fleet.pass_time(30.0)
        self.assertEqual({frozenset(near), frozenset(far)}, self.fleet.views())
        self.fleet.cut = set()
        self.fleet.pass_time(10.0)
        self.assertEqual({frozenset(near | far)}, self.fleet.views())

    def test_steady_list_reads_do_not_grow_with_the_fleet(self) -> None:
        reads = []
        for size in (9, 27):
            fleet = memory_fleet.Fleet(size)
            fleet.pass_time(5.0)
            fleet.list_reads = 0
            fleet.pass_time(30.0)
            reads.append(fleet.list_reads)
        self.assertTrue(reads[1] <= reads[0] * 1.2, reads)

    def test_suspicion_is_dropped_if_the_member_answered(self) -> None:
        # Guards against applying a failed probe of an earlier process to a
        # member that has restarted since.
        fleet = memory_fleet.Fleet(2)
        fleet.pass_time(3.0)
        probes = fleet.processes_by_id['i0'].controller._probes
        fleet.processes_by_id['i1'].clock.is_paused = True
        probes.tick()
        view = probes._view
        restarted = msgspec.structs.replace(
            view.members_by_id['i1'], version=10**15, incarnation='new'
        )
        view.merge(restarted)
        fleet.pass_time(1.1)
        self.assertEqual(restarted, view.members_by_id['i1'])

    def test_live_is_rebuilt_only_on_a_change(self) -> None:
        controller = self.fleet.processes_by_id['i0'].controller
        first = controller.live()
        self.fleet.pass_time(3.0)
        self.assertIs(first, controller.live())
        self.fleet.processes_by_id[TARGET].controller.leave()
        self.fleet.pass_time(2.0)
        self.assertIsNot(first, controller.live())

    def test_pair_of_instances(self) -> None:
        fleet = memory_fleet.Fleet(2)
        fleet.pass_time(3.0)
        fleet.crash('i1')
        fleet.pass_time(5.0)
        self.assertEqual({frozenset({'i0'})}, fleet.views())


class DifferentialTest(unittest.TestCase):
    @seed(4)
    @settings(max_examples=12, deadline=None, database=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['crash', 'restart', 'leave', 'cut']),
                strategies.integers(0, 7),
                strategies.integers(1, 7),
            ),
            max_size=6,
        )
    )
    def test_agrees_with_everybody_probing_everybody(self, events) -> None:
        # Reference model: an instance is live if it runs, is not leaving and
        # is reachable by most.
        fleet = memory_fleet.Fleet(8)
        fleet.pass_time(4.0)
        leaving: set[str] = set()
        for event, number, distance in events:
            name = f'i{number}'
            process = fleet.processes_by_id[name]
            if event == 'restart':
                leaving.discard(name)
                fleet.restart(name)
            elif event == 'crash':
                fleet.crash(name)
            elif event == 'leave' and not process.is_down:
                leaving.add(name)
                process.controller.leave()
            elif event == 'cut':
                fleet.cut = {(name, f'i{(number + distance) % 8}')}
            fleet.pass_time(1.0)
        fleet.pass_time(15.0)
        running = {p.me.id for p in fleet.up()}
        if running:
            self.assertEqual({frozenset(running - leaving)}, fleet.views())
