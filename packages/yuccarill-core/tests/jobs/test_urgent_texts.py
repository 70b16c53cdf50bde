"""Test that weight changes don't interrupt urgent texts.

Guards against steps that miss their deadline since their longest text is moved
by weight changes for the next step.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import job_queue
from yuccarill.core.jobs import weights

from . import items

NOW = Instant(10.0)
M = ModelName('m')


class SparedTest(unittest.TestCase):
    # Engines, engines with an urgent text, announced version, and the number
    # of engines with an urgent text that change in the end.
    @params(
        # Few urgent engines keep their weights; the others change.
        (10, 3, 2, 0),
        # The next step needs more engines than would be left.
        (4, 3, 2, 3),
        # The weights are too old for the next step, so the engines change.
        (10, 3, 3, 3),
        (10, 0, 2, 0),
    )
    def test_which_engines_keep_their_weights(
        self, count: int, urgent: int, version: int, expected: int
    ) -> None:
        fleet = items.make_fleet(
            *(items.make_target(f'e{number}', m=1) for number in range(count))
        )
        names = [TargetId(f'e{number}') for number in range(urgent)]
        for name in names:
            fleet.engines_by_id[name].urgent_models.add(M)
        changed: set[TargetId] = set()
        for _ in range(count):
            for switch in weights.next_switches(
                fleet, {M: WeightVersion(version)}, {M: 100}, NOW
            ):
                changed.add(switch.engine)
                engine = fleet.engines_by_id[switch.engine]
                engine.record_version(M, switch.version)
        self.assertEqual(expected, len(changed & set(names)))
        self.assertEqual(count - urgent, len(changed - set(names)))


class UrgentTest(unittest.TestCase):
    # Remaining events of 0.04 s each, deadline, current time, and the result.
    @params(
        (100, 7.5, 0.0, False),
        (100, 7.5, 2.0, False),
        (100, 7.5, 2.5, True),
        (10, 7.5, 5.0, False),
        (10, 7.5, 6.5, True),
        # A text that is late already stays urgent.
        (10, 7.5, 8.0, True),
    )
    def test_texts_with_little_slack_are_urgent(
        self, events: int, due: float, now: float, expected: bool
    ) -> None:
        found = job_queue.JobQueue()
        job = items.make_job()
        state = job_queue.JobState(
            job, Instant(0.0), Instant(due), Instant(40.0)
        )
        found.add(state)
        run = next(state.waiting())
        found.seconds_left = lambda run, pace: pace * events
        self.assertIs(expected, found.is_urgent(run, 0.04, Instant(now)))

    def test_a_text_of_an_ended_job_is_not_urgent(self) -> None:
        found = job_queue.JobQueue()
        state = items.make_state(items.make_job())
        run = next(state.waiting())
        self.assertFalse(found.is_urgent(run, 0.04, Instant(9.0)))
