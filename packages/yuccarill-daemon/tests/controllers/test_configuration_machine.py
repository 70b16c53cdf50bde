"""Test random interleavings of faults for reverted revisions."""

from __future__ import annotations

import random
from typing import Any
import unittest

from hypothesis import Phase
from hypothesis import seed
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
from twisted.python import failure

from yuccarill.core import errors
from yuccarill.standins import memory

from controllers import fleet as fleet_module

# Four instances are watchers; three depend on peers.
COUNT = 7
HEAL_SECONDS = 3.0
DELAYS = (0.001, 0.002, 0.1, 0.3, 1.5)
NUMBERS = strategies.integers(0, COUNT - 1)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Start, stop, isolate and configure instances at random."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleet_module.Fleet(COUNT)
        generator = random.Random(COUNT)
        # Messages are reordered; some arrive long after their request timed
        # out.
        self.fleet.network.delay = lambda *_: generator.choice(DELAYS)
        self.applies: list[tuple[str, list[Any]]] = []
        # The only digest that each revision may have.
        self.digests_by_revision: dict[int, str] = {}

    @stateful.initialize()
    def begin(self) -> None:
        self.fleet.start(*range(COUNT))
        self.fleet.apply(0, 0, 'a')
        self.fleet.advance(1.0)

    @stateful.rule(number=NUMBERS)
    def kill_or_start(self, number: int) -> None:
        if self.fleet.instances[number].id in self.fleet.nodes_by_id:
            self.fleet.kill(number)
        else:
            self.fleet.start(number)

    @stateful.rule(first=NUMBERS, second=NUMBERS)
    def cut_one_way(self, first: int, second: int) -> None:
        ids = [instance.id for instance in self.fleet.instances]
        self.fleet.network.dropped_pairs.add((ids[first], ids[second]))

    @stateful.rule()
    def heal(self) -> None:
        self.fleet.network.dropped_pairs.clear()

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.5, 3.0)))
    def outage(self, seconds: float) -> None:
        self.fleet.store.is_down = True
        self.fleet.advance(seconds)
        self.fleet.store.is_down = False

    @stateful.rule(
        numbers=strategies.lists(NUMBERS, min_size=1, max_size=3),
        lag=strategies.sampled_from((0, 0, 0, 1)),
        fault=strategies.sampled_from((None, None, *memory.WriteFault)),
        cut=strategies.sets(NUMBERS, max_size=COUNT),
        seconds=strategies.sampled_from((0.0, 0.05, 2.0)),
    )
    def operators_apply(
        self,
        numbers: list[int],
        lag: int,
        fault: memory.WriteFault | None,
        cut: set[int],
        seconds: float,
    ) -> None:
        for number in cut:
            self.fleet.cut_off(number)
        self.fleet.store.is_down = False
        self.fleet.store.next_write_fault = fault
        for number in numbers:
            node = self.fleet.nodes_by_id.get(self.fleet.instances[number].id)
            if node is not None and node.revision > lag:
                change = f'c{len(self.applies)}'
                base = node.revision - lag
                results = self.fleet.apply(
                    number, base, f'm{change}', change_id=change
                )
                self.applies.append((change, results))
        self.fleet.advance(seconds)

    @stateful.rule(seconds=strategies.sampled_from((0.02, 0.1, 1.0, 4.0)))
    def wait(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @stateful.rule()
    def execute_delayed_writes(self) -> None:
        self.fleet.store.execute_delayed_writes()

    @stateful.invariant()
    def a_revision_is_one_document(self) -> None:
        for node in self.fleet.nodes_by_id.values():
            head = node.blackboard.snapshot
            if head is not None:
                known = self.digests_by_revision.setdefault(
                    head.revision, head.digest
                )
                assert known == head.digest

    def teardown(self) -> None:
        self.fleet.network.dropped_pairs.clear()
        self.fleet.network.delay = lambda *_: DELAYS[0]
        self.fleet.store.is_down = False
        self.fleet.store.next_write_fault = None
        # Lets all operators get their results before the delayed writes land.
        self.fleet.advance(8.0)
        self.fleet.store.execute_delayed_writes()
        for number, instance in enumerate(self.fleet.instances):
            if instance.id not in self.fleet.nodes_by_id:
                self.fleet.start(number)
        self.fleet.advance(HEAL_SECONDS)
        self.a_revision_is_one_document()
        trail = self.trail()
        assert [c.revision for c in trail] == list(range(1, len(trail) + 1))
        for node in self.fleet.nodes_by_id.values():
            assert node.revision == len(trail)
            assert node.blackboard.snapshot.digest == trail[-1].digest
        revisions_by_change = {c.change_id: c.revision for c in trail}
        assert len(revisions_by_change) == len(trail)
        for change, results in self.applies:
            self.check_results(results, revisions_by_change.get(change))

    def check_results(self, results: list[Any], revision: int | None) -> None:
        """Compare an operator's result with the audit trail."""
        if not results:
            # The instance was killed before it replied.
            return
        if not isinstance(results[0], failure.Failure):
            assert results[0].revision == revision
        elif not results[0].check(errors.ApplyOutcomeUnknown):
            assert results[0].check(
                errors.StoreUnavailable, errors.RevisionConflict
            )
            assert revision is None

    def trail(self) -> list[Any]:
        """Return the audit trail, oldest first."""
        found: list[Any] = []
        last = None
        while last != 0:
            pages = self.fleet.outcome(
                next(
                    iter(self.fleet.nodes_by_id.values())
                ).configuration.audit(last)
            )
            self.fleet.advance(0.1)
            found = [*pages[0].changes, *found]
            last = pages[0].previous
        return found


class ConfigurationMachineTest(unittest.TestCase):
    def test_no_interleaving_reverts_a_revision(self) -> None:
        # Guards against reverted or diverging revisions, wrong results for
        # operators and slow convergence under random faults.
        stateful.run_state_machine_as_test(
            seed(4)(ConfigurationMachine),
            settings=settings(
                max_examples=80,
                stateful_step_count=40,
                deadline=None,
                database=None,
                # Shrinking a failing example is slow.
                phases=(Phase.generate,),
            ),
        )
