"""Test that weight changes wait until the coming step is placed."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.core.jobs import weight_change_hold
from yuccarill.core.jobs import weights

from . import items

ANNOUNCED = {items.MODEL: WeightVersion(2)}
SUBMITTED_AT = 0.7


class WeightChangeHoldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = queue_module.JobQueue()
        self.hold = weight_change_hold.WeightChangeHold()
        self.fleet = items.make_fleet(
            *(items.make_target(f'e{n}', m=1) for n in range(5))
        )
        self.switches(0.0)

    def held(self, now: float) -> bool:
        found = self.hold.held_models(ANNOUNCED, self.queue, Instant(now))
        return items.MODEL in found

    def switches(self, now: float) -> int:
        held = self.hold.held_models(ANNOUNCED, self.queue, Instant(now))
        found = weights.next_switches(
            self.fleet, ANNOUNCED, {}, Instant(now), held
        )
        return len(found)

    def submit(self, min_version: int) -> queue_module.JobState:
        state = items.make_state(items.make_job(min_version=min_version))
        self.queue.add(state)
        return state

    def test_engines_load_after_the_step_is_placed(self) -> None:
        """Guards against a step that starts late since its engines load.

        Version 2 is announced; its step may run on version 1.
        """
        self.assertEqual(0, self.switches(SUBMITTED_AT - 0.1))
        state = self.submit(min_version=1)
        self.assertEqual(0, self.switches(SUBMITTED_AT))
        for run in state.runs_by_id.values():
            run.state = queue_module.RunState.RUNNING
        self.assertGreater(self.switches(SUBMITTED_AT + 0.1), 0)

    def test_a_step_is_awaited_for_a_limited_time(self) -> None:
        # The trainer is late or has ended.
        self.assertEqual(
            0, self.switches(weight_change_hold.HOLD_SECONDS - 0.1)
        )
        self.assertGreater(self.switches(weight_change_hold.HOLD_SECONDS), 0)

    def test_items_without_a_slot_do_not_hold_forever(self) -> None:
        self.submit(min_version=1)
        self.assertTrue(self.held(1.0))
        self.assertFalse(self.held(weight_change_hold.HOLD_SECONDS))

    def test_an_older_step_is_not_the_coming_one(self) -> None:
        state = self.submit(min_version=0)
        for run in state.runs_by_id.values():
            run.state = queue_module.RunState.RUNNING
        self.assertTrue(self.held(1.0))

    def test_engines_too_old_for_the_step_load_at_once(self) -> None:
        # Engines with these weights can't run the step in any case.
        fleet = items.make_fleet(
            *(items.make_target(f'e{n}', m=0) for n in range(5))
        )
        found = weights.next_switches(
            fleet, ANNOUNCED, {}, Instant(0.0), {items.MODEL}
        )
        self.assertGreater(len(found), 0)

    # A new version starts a new hold; a known one keeps its start time.
    @params((2, False), (3, True))
    def test_each_version_has_its_own_hold(
        self, version: int, expected: bool
    ) -> None:
        announced = {items.MODEL: WeightVersion(version)}
        now = Instant(weight_change_hold.HOLD_SECONDS + 0.1)
        found = self.hold.held_models(announced, self.queue, now)
        self.assertIs(expected, items.MODEL in found)
