"""Test every fault at every step of an apply, one and two at once."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from nose2.tools import params

from yuccarill.core.config import apply as apply_module
from yuccarill.core.config import documents
from yuccarill.core.config import head as head_module
from yuccarill.core.config import store
from yuccarill.core import errors

from config import fake_store
from config.fake_store import Fault
from config.fake_store import Run

if TYPE_CHECKING:
    from collections.abc import Callable

# Few, so that thousands of cells stay quick: a checkpoint lies behind, and
# the next one is due.
MAX_CHANGES = 3
REVISIONS = 6
# What has to go wrong first for a step to be reached at all.
LEADING: dict[store.Step, dict[store.Step, list[Fault]]] = {
    store.Step.READ_HEAD: {},
    store.Step.READ_DOCUMENT: {},
    store.Step.WRITE_AUDIT_PAGE: {},
    store.Step.READ_SLOT: {},
    store.Step.WRITE_DOCUMENT: {},
    store.Step.SWAP_HEAD: {},
    store.Step.READ_BACK: {store.Step.SWAP_HEAD: [Fault.REPLY_LOST]},
    store.Step.FENCE: {store.Step.SWAP_HEAD: [Fault.DELAYED]},
    store.Step.LOOK_UP_CHANGE: {
        store.Step.SWAP_HEAD: [Fault.REPLY_LOST],
        store.Step.READ_BACK: [Fault.RACES],
    },
}
with mock.patch.object(head_module, 'MAX_CHANGES', MAX_CHANGES):
    FULL = fake_store.store_with(REVISIONS)
INVENTORY = FULL.run(documents.load()).inventory
CHANGE = 'change-mine'
CELLS = list(itertools.product(store.Step, Fault))


class Cell:
    """Apply a change under faults and see what the operator was told."""

    def __init__(self, faults: dict[store.Step, list[Fault]]) -> None:
        self.store = fake_store.copied(FULL)
        self.request = fake_store.request(REVISIONS, 'mine', INVENTORY)
        self.run = Run(self.store, faults)
        self.result: object = None
        try:
            self.result = self.run.run(apply_module.apply(self.request))
        except (errors.YuccarillError, fake_store.Crashed) as error:
            self.result = error

    def again(self) -> object:
        """Ask once more with the same change id, the store being back."""
        return self._finish(apply_module.apply(self.request))

    def settle(self) -> object:
        """Find out what the instance does on its own afterwards."""
        return self._finish(apply_module.settle(self.request, None))

    def _finish(self, decision: store.Decision[object]) -> object:
        self.store.is_down = False
        try:
            return self.store.run(decision)
        except errors.YuccarillError as error:
            return error

    def count(self) -> int:
        """Count the revisions that the change has made."""
        trail = self.store.trail()
        revisions = [change.revision for change in trail]
        expected = list(range(1, len(trail) + 1))
        if revisions != expected:
            raise AssertionError(f'the audit trail has gaps: {revisions}')
        return sum(change.change_id == CHANGE for change in trail)


class ApplyFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        limit = mock.patch.object(head_module, 'MAX_CHANGES', MAX_CHANGES)
        limit.start()
        self.addCleanup(limit.stop)

    def test_every_step_is_reached(self) -> None:
        for step in store.Step:
            self.assertIn(step, Cell(LEADING[step]).run.visited)

    @params(*CELLS)
    def test_one_fault(self, step: store.Step, fault: Fault) -> None:
        # The operator applies, and one thing goes wrong at one step. Told
        # "applied", the change stands once; told "refused", it stands
        # nowhere even after every delayed write has arrived; told
        # "unknown", the same change id finds out, and so does the instance
        # by itself.
        for finish in (Cell.again, Cell.settle):
            self.check(_joined(LEADING[step], {step: [fault]}), finish)

    def test_a_fence_is_no_race(self) -> None:
        # Another applier moves the head's version on to fence a write of
        # its own. No revision came between, so this change still applies.
        cell = Cell({store.Step.SWAP_HEAD: [Fault.FENCE_RACE]})
        self.assertIsInstance(cell.result, apply_module.ApplyResult)

    def test_two_faults(self) -> None:
        # The same with two things going wrong in one apply, at any two
        # steps, or at one step twice.
        pairs = itertools.combinations_with_replacement(CELLS, 2)
        for (first, a), (second, b) in pairs:
            faults = _joined(LEADING[first], LEADING[second], {first: [a]})
            with self.subTest(steps=(first, second), faults=(a, b)):
                finish = Cell.again if a is b else Cell.settle
                self.check(_joined(faults, {second: [b]}), finish)

    def check(
        self,
        faults: dict[store.Step, list[Fault]],
        finish: Callable[[Cell], object],
    ) -> None:
        cell = Cell(faults)
        result = cell.result
        match result:
            case apply_module.ApplyResult():
                expected = {1}
            case errors.StoreUnavailable() | errors.RevisionConflict():
                expected = {0}
            case errors.ApplyOutcomeUnknown() | fake_store.Crashed():
                expected = {0, 1}
                result = finish(cell)
            case _:
                self.fail(f'{result!r}')
        cell.store.is_down = False
        cell.store.land()
        found = cell.count()
        self.assertIn(found, expected)
        self.assertEqual(
            isinstance(result, apply_module.ApplyResult), found == 1
        )
        loaded = cell.store.run(documents.load())
        later = fake_store.request(
            loaded.head.revision, 'later', loaded.inventory
        )
        cell.store.run(apply_module.apply(later))
        self.assertEqual(found, cell.count())


def _joined(
    *plans: dict[store.Step, list[Fault]],
) -> dict[store.Step, list[Fault]]:
    joined: dict[store.Step, list[Fault]] = {}
    for plan in plans:
        for step, faults in plan.items():
            joined.setdefault(step, []).extend(faults)
    return joined
