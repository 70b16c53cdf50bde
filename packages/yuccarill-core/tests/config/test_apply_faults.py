"""Test applies with one fault or two faults at any of their steps."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from nose2.tools import params

from yuccarill.core.config import apply as apply_module
from yuccarill.core.config import documents
from yuccarill.core.config import head as head_module
from yuccarill.core.config import store_actions
from yuccarill.core import errors

from config import fake_store
from config.fake_store import Fault
from config.fake_store import Run

if TYPE_CHECKING:
    from collections.abc import Callable

# Small, for speed: the store has made a checkpoint, and the next one is due.
MAX_CHANGES = 3
REVISIONS = 6
# Faults that make an apply reach a step.
PRIOR_FAULTS: dict[
    store_actions.StoreStep, dict[store_actions.StoreStep, list[Fault]]
] = {
    store_actions.StoreStep.READ_HEAD: {},
    store_actions.StoreStep.READ_DOCUMENT: {},
    store_actions.StoreStep.WRITE_AUDIT_PAGE: {},
    store_actions.StoreStep.READ_SLOT: {},
    store_actions.StoreStep.WRITE_DOCUMENT: {},
    store_actions.StoreStep.SWAP_HEAD: {},
    store_actions.StoreStep.READ_BACK: {
        store_actions.StoreStep.SWAP_HEAD: [Fault.REPLY_LOST]
    },
    store_actions.StoreStep.FENCE: {
        store_actions.StoreStep.SWAP_HEAD: [Fault.DELAYED]
    },
    store_actions.StoreStep.LOOK_UP_CHANGE: {
        store_actions.StoreStep.SWAP_HEAD: [Fault.REPLY_LOST],
        store_actions.StoreStep.READ_BACK: [Fault.RACES],
    },
}
with mock.patch.object(head_module, 'MAX_CHANGES', MAX_CHANGES):
    STORE = fake_store.store_with(REVISIONS)
INVENTORY = STORE.run(documents.load()).inventory
CHANGE_ID = 'change-mine'
STEP_FAULTS = list(itertools.product(store_actions.StoreStep, Fault))


class Scenario:
    """An apply with injected faults and the result that operators see."""

    def __init__(
        self, faults: dict[store_actions.StoreStep, list[Fault]]
    ) -> None:
        self.store = fake_store.copy_store(STORE)
        self.request = fake_store.request(REVISIONS, 'mine', INVENTORY)
        self.run = Run(self.store, faults)
        self.result: object = None
        try:
            self.result = self.run.run(apply_module.apply(self.request))
        except (errors.YuccarillError, fake_store.Crashed) as error:
            self.result = error

    def retry(self) -> object:
        """Apply the change again, with the same change id and the store up."""
        return self._finish(apply_module.apply(self.request))

    def settle(self) -> object:
        """Find the outcome as the instance does, with the store up."""
        return self._finish(apply_module.resolve_outcome(self.request, None))

    def _finish(
        self, decision: store_actions.StoreProcedure[object]
    ) -> object:
        self.store.is_down = False
        try:
            return self.store.run(decision)
        except errors.YuccarillError as error:
            return error

    def revision_count(self) -> int:
        """Return the number of revisions that the change has made."""
        trail = self.store.audit_trail()
        revisions = [change.revision for change in trail]
        expected = list(range(1, len(trail) + 1))
        if revisions != expected:
            raise AssertionError(f'The audit trail has gaps: {revisions}.')
        return sum(change.change_id == CHANGE_ID for change in trail)


class ApplyFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        limit = mock.patch.object(head_module, 'MAX_CHANGES', MAX_CHANGES)
        limit.start()
        self.addCleanup(limit.stop)

    def test_every_step_is_reached(self) -> None:
        for step in store_actions.StoreStep:
            self.assertIn(step, Scenario(PRIOR_FAULTS[step]).run.visited)

    @params(*STEP_FAULTS)
    def test_one_fault(
        self, step: store_actions.StoreStep, fault: Fault
    ) -> None:
        # Guards against wrong reports to operators: a change that is reported
        # as applied exists once, a refused one never, even after all delayed
        # writes. An unknown outcome is resolved by a retry or by `settle`.
        for finish in (Scenario.retry, Scenario.settle):
            self.check(_merge(PRIOR_FAULTS[step], {step: [fault]}), finish)

    def test_concurrent_fence_is_not_a_conflict(self) -> None:
        # A fence by another applier changes the head's version but not its
        # revision and must not be reported as a conflict.
        scenario = Scenario(
            {store_actions.StoreStep.SWAP_HEAD: [Fault.FENCE_RACE]}
        )
        self.assertIsInstance(scenario.result, apply_module.ApplyResult)

    def test_two_faults(self) -> None:
        # Guards against the same failures with any two faults in one apply.
        pairs = itertools.combinations_with_replacement(STEP_FAULTS, 2)
        for (first, a), (second, b) in pairs:
            faults = _merge(
                PRIOR_FAULTS[first], PRIOR_FAULTS[second], {first: [a]}
            )
            with self.subTest(steps=(first, second), faults=(a, b)):
                finish = Scenario.retry if a is b else Scenario.settle
                self.check(_merge(faults, {second: [b]}), finish)

    def check(
        self,
        faults: dict[store_actions.StoreStep, list[Fault]],
        finish: Callable[[Scenario], object],
    ) -> None:
        scenario = Scenario(faults)
        result = scenario.result
        match result:
            case apply_module.ApplyResult():
                expected = {1}
            case errors.StoreUnavailable() | errors.RevisionConflict():
                expected = {0}
            case errors.ApplyOutcomeUnknown() | fake_store.Crashed():
                expected = {0, 1}
                result = finish(scenario)
            case _:
                self.fail(f'{result!r}')
        scenario.store.is_down = False
        scenario.store.deliver_delayed()
        count = scenario.revision_count()
        self.assertIn(count, expected)
        self.assertEqual(
            isinstance(result, apply_module.ApplyResult), count == 1
        )
        loaded = scenario.store.run(documents.load())
        later = fake_store.request(
            loaded.head.revision, 'later', loaded.inventory
        )
        scenario.store.run(apply_module.apply(later))
        self.assertEqual(count, scenario.revision_count())


def _merge(
    *plans: dict[store_actions.StoreStep, list[Fault]],
) -> dict[store_actions.StoreStep, list[Fault]]:
    merged: dict[store_actions.StoreStep, list[Fault]] = {}
    for plan in plans:
        for step, faults in plan.items():
            merged.setdefault(step, []).extend(faults)
    return merged
