"""Test a trainer's progress against a naive set of steps."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from yuccarill.core import errors
from yuccarill.core.ids import StepNumber
from yuccarill.core.rollouts import progress as progress_module

STEPS = strategies.integers(1, 12)
ACTIONS = strategies.lists(strategies.tuples(strategies.booleans(), STEPS))


class ProgressTest(unittest.TestCase):
    @hypothesis.seed(6)
    @hypothesis.settings(deadline=None, database=None)
    @hypothesis.given(ACTIONS)
    def test_against_naive_set(
        self, actions: list[tuple[bool, StepNumber]]
    ) -> None:
        # Guards against a closed step that is opened again, and against an
        # open step that counts as closed.
        progress = progress_module.Progress()
        closed: set[int] = set()
        opened: set[int] = set()
        for opens, step in actions:
            if opens:
                try:
                    progress = progress_module.open_step(progress, step)
                    self.assertNotIn(step, closed)
                    opened.add(step)
                except errors.StepClosed:
                    self.assertNotIn(step, opened)
            else:
                progress = progress_module.close_step(progress, step)
                closed.add(step)
                opened.discard(step)
        self.assertEqual(tuple(sorted(opened)), progress.open)
        self.assertTrue(all(map(progress.is_closed, closed)))
        self.assertFalse(any(map(progress.is_closed, opened)))

    def test_closed_steps_collapse_into_the_low_water_mark(self) -> None:
        progress = progress_module.Progress()
        for number in range(1, 1000):
            step = StepNumber(number)
            progress = progress_module.open_step(progress, step)
            progress = progress_module.close_step(progress, step)
        self.assertEqual(999, progress.low_water)
        self.assertEqual((), progress.closed)
