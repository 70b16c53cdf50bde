"""Test that a change of weights leaves texts alone that can't afford it.

The pattern is that of steps whose longest text takes 7.4 s on an engine of its
own where 8.2 s are in time: three of a hundred texts. Each was moved once or
twice by changes of weights for the step after, which took it 0.1 to 0.3 s each
time; the other engines of the model can change meanwhile.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import board
from yuccarill.core.jobs import weights

from . import items

NOW = Instant(10.0)
M = ModelName('m')


class SparedTest(unittest.TestCase):
    # Engines, those with a text in a hurry, the version that is named, and
    # how many of the first are changed in the end.
    @params(
        # Few of them: left alone, while the others change.
        (10, 3, 2, 0),
        # The step after needs more engines than are left.
        (4, 3, 2, 3),
        # Too far behind to serve the step to come: a text there is no reason.
        (10, 3, 3, 3),
        (10, 0, 2, 0),
    )
    def test_which_engines_are_left_alone(
        self, count: int, hurried: int, version: int, expected: int
    ) -> None:
        fleet = items.make_fleet(
            *(items.make_target(f'e{number}', m=1) for number in range(count))
        )
        names = [TargetId(f'e{number}') for number in range(hurried)]
        for name in names:
            fleet.engines_by_id[name].hurried.add(M)
        changed: set[TargetId] = set()
        for _ in range(count):
            for switch in weights.next_switches(
                fleet, {M: WeightVersion(version)}, {M: 100}, NOW
            ):
                changed.add(switch.engine)
                engine = fleet.engines_by_id[switch.engine]
                engine.saw_version(M, switch.version)
        self.assertEqual(expected, len(changed & set(names)))
        self.assertEqual(count - hurried, len(changed - set(names)))


class HurriedTest(unittest.TestCase):
    # Events of 0.04 s that a text will still have, its due time, the moment.
    @params(
        (100, 7.5, 0.0, False),
        (100, 7.5, 2.0, False),
        (100, 7.5, 2.5, True),
        (10, 7.5, 5.0, False),
        (10, 7.5, 6.5, True),
        # Late already: each moment counts for its trainer all the same.
        (10, 7.5, 8.0, True),
    )
    def test_texts_without_a_second_to_spare(
        self, events: int, due: float, now: float, expected: bool
    ) -> None:
        found = board.JobBoard()
        job = items.make_job()
        state = board.JobState(job, Instant(0.0), Instant(due), Instant(40.0))
        found.add(state)
        run = next(state.waiting())
        found.seconds_left = lambda run, pace: pace * events
        self.assertIs(expected, found.is_hurried(run, 0.04, Instant(now)))

    def test_a_text_of_an_ended_job_is_in_no_hurry(self) -> None:
        found = board.JobBoard()
        state = items.make_state(items.make_job())
        run = next(state.waiting())
        self.assertFalse(found.is_hurried(run, 0.04, Instant(9.0)))
