"""Test that engines serve a step that is about to come.

The load: a trainer names a version each 4 s and asks for its step 0.7 s
later, as the logs of the users' calm days show; loads take 0.9 s and more.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import step_hold
from yuccarill.core.jobs import weights

from . import items

NAMED = {items.MODEL: WeightVersion(2)}
STEP_AT = 0.7


class StepHoldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.board = board_module.JobBoard()
        self.hold = step_hold.StepHold()
        self.fleet = items.make_fleet(
            *(items.make_target(f'e{n}', m=1) for n in range(5))
        )
        self.switches(0.0)

    def held(self, now: float) -> bool:
        found = self.hold.held(NAMED, self.board, Instant(now))
        return items.MODEL in found

    def switches(self, now: float) -> int:
        held = self.hold.held(NAMED, self.board, Instant(now))
        found = weights.next_switches(
            self.fleet, NAMED, {}, Instant(now), held
        )
        return len(found)

    def ask(self, min_version: int) -> board_module.JobState:
        state = items.make_state(items.make_job(min_version=min_version))
        self.board.add(state)
        return state

    def test_a_step_finds_every_engine(self) -> None:
        """The longest text of a step began 1.2 s late.

        1. Version 2 is named, and its step, which allows 1, is due.
        2. Engines that load version 2 at once have no place for it.
        3. They load once each item of the step has its place.
        """
        self.assertEqual(0, self.switches(STEP_AT - 0.1))
        state = self.ask(min_version=1)
        self.assertEqual(0, self.switches(STEP_AT))
        for run in state.runs_by_id.values():
            run.state = board_module.RunState.RUNNING
        self.assertGreater(self.switches(STEP_AT + 0.1), 0)

    def test_a_step_that_does_not_come_is_not_waited_for(self) -> None:
        # A trainer behind its time, or one that is gone.
        self.assertEqual(0, self.switches(step_hold.HOLD_SECONDS - 0.1))
        self.assertGreater(self.switches(step_hold.HOLD_SECONDS), 0)

    def test_items_that_find_no_place_do_not_hold_for_ever(self) -> None:
        self.ask(min_version=1)
        self.assertTrue(self.held(1.0))
        self.assertFalse(self.held(step_hold.HOLD_SECONDS))

    def test_an_older_step_is_not_taken_for_the_coming_one(self) -> None:
        state = self.ask(min_version=0)
        for run in state.runs_by_id.values():
            run.state = board_module.RunState.RUNNING
        self.assertTrue(self.held(1.0))

    def test_engines_too_old_for_the_step_load_at_once(self) -> None:
        # They have no place for it in any case.
        fleet = items.make_fleet(
            *(items.make_target(f'e{n}', m=0) for n in range(5))
        )
        found = weights.next_switches(
            fleet, NAMED, {}, Instant(0.0), {items.MODEL}
        )
        self.assertGreater(len(found), 0)

    # A later version begins a hold of its own, an older one's goes on.
    @params((2, False), (3, True))
    def test_each_version_has_its_own_time(
        self, version: int, expected: bool
    ) -> None:
        named = {items.MODEL: WeightVersion(version)}
        now = Instant(step_hold.HOLD_SECONDS + 0.1)
        found = self.hold.held(named, self.board, now)
        self.assertIs(expected, items.MODEL in found)
