"""Test the distinction of a lasting pace, a transient slowdown and a fault.

The factors on PACE: 0.6 to 1.6 lasting, 2.5 for transient slowdowns of 0.6 s,
2.2 and more for faults.
"""

from __future__ import annotations

import math
import random
import unittest

from nose2.tools import params

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.speeds.estimate import SpeedState
from yuccarill.core.speeds import pace_estimator

PACE = 0.04
E = TargetId('e')
SLOPE = 0.03


def feed(
    estimator: pace_estimator.PaceEstimator,
    began_at: float,
    ends_at: float,
    factor: float = 1.0,
    target: TargetId = E,
    concurrent: int = 4,
    seed: int = 1,
) -> float:
    """Record the events of concurrent runs; return the end time."""
    draw = random.Random(seed)
    now = began_at
    while now < ends_at:
        gap = PACE * factor * (1.0 + SLOPE * concurrent)
        now += gap
        for _ in range(concurrent + 1):
            seconds = gap * draw.uniform(0.9, 1.1)
            estimator.record_unit(target, seconds, concurrent, Instant(now))
    return now


class PaceEstimatorTest(unittest.TestCase):
    @params(0.6, 1.0, 1.6)
    def test_a_lasting_pace_is_learned_within_a_second(
        self, factor: float
    ) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = Instant(feed(estimator, 0.0, 1.0, factor))
        found = estimator.pace(E, 4, now)
        expected = PACE * factor * (1.0 + SLOPE * 4)
        self.assertAlmostEqual(math.log(expected), math.log(found.pace), 1)
        self.assertLess(found.deviation, 0.1)
        self.assertIs(SpeedState.USUAL, estimator.state(E, now))

    def test_a_transient_slowdown_keeps_the_lasting_pace(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = feed(estimator, 0.0, 3.0)
        before = estimator.pace(E, 4, Instant(now)).pace
        now = feed(estimator, now, now + 0.6, 2.5)
        self.assertIs(SpeedState.USUAL, estimator.state(E, Instant(now)))
        now = feed(estimator, now, now + 0.3)
        after = estimator.pace(E, 4, Instant(now)).pace
        self.assertAlmostEqual(1.0, after / before, 1)

    def test_a_transient_slowdown_raises_the_deviation(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = feed(estimator, 0.0, 3.0)
        before = estimator.pace(E, 4, Instant(now)).deviation
        now = feed(estimator, now, now + 0.4, 2.5)
        found = estimator.pace(E, 4, Instant(now))
        self.assertGreater(found.deviation, 2.0 * before)

    @params(2.2, 4.0)
    def test_a_fault_is_detected_within_a_second(self, factor: float) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = feed(estimator, 0.0, 3.0)
        usual = estimator.pace(E, 4, Instant(now)).pace
        now = feed(estimator, now, now + 1.0, factor)
        self.assertIs(SpeedState.FAULTY, estimator.state(E, Instant(now)))
        found = estimator.pace(E, 4, Instant(now)).pace
        self.assertAlmostEqual(factor, found / usual, delta=0.2 * factor)
        # The lasting pace is restored once the fault ends.
        now = feed(estimator, now, now + 0.3)
        self.assertIs(SpeedState.USUAL, estimator.state(E, Instant(now)))
        found = estimator.pace(E, 4, Instant(now)).pace
        self.assertAlmostEqual(1.0, found / usual, 1)

    def test_a_fault_without_measurements_expires(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = feed(estimator, 0.0, 3.0)
        now = feed(estimator, now, now + 1.0, 3.0)
        later = Instant(now + 10.0)
        self.assertIs(SpeedState.USUAL, estimator.state(E, later))

    def test_a_faster_pace_is_adopted_soon(self) -> None:
        """Guards against a lasting pace learned during a fault."""
        estimator = pace_estimator.PaceEstimator()
        now = feed(estimator, 0.0, 3.0, 2.5)
        now = feed(estimator, now, now + 1.5)
        found = estimator.pace(E, 4, Instant(now)).pace
        expected = PACE * (1.0 + SLOPE * 4)
        self.assertAlmostEqual(1.0, found / expected, delta=0.1)

    def test_the_slope_is_learned_from_all_targets(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = 0.0
        for step in range(60):
            for name in ('e', 'f', 'g'):
                feed(
                    estimator,
                    now,
                    now + 0.3,
                    target=TargetId(name),
                    concurrent=(0, 7, 15)[step % 3],
                )
            now += 0.3
        self.assertAlmostEqual(SLOPE, estimator.slope, delta=0.3 * SLOPE)

    def test_an_unknown_target_gets_the_median_pace(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = Instant(0.0)
        for name, factor in (('a', 0.6), ('b', 1.0), ('c', 1.6)):
            now = Instant(feed(estimator, 0.0, 2.0, factor, TargetId(name)))
        found = estimator.pace(TargetId('new'), 4, now)
        expected = PACE * (1.0 + SLOPE * 4)
        self.assertAlmostEqual(1.0, found.pace / expected, delta=0.1)
        self.assertGreater(found.deviation, 0.3)
        self.assertIs(
            SpeedState.UNKNOWN, estimator.state(TargetId('new'), now)
        )

    def test_a_restart_drops_the_estimate(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        estimator.track_start(E, TargetStart(started_at=1))
        now = Instant(feed(estimator, 0.0, 2.0))
        estimator.track_start(E, TargetStart(started_at=1, heartbeats=3))
        self.assertIs(SpeedState.USUAL, estimator.state(E, now))
        estimator.track_start(E, TargetStart(started_at=2))
        self.assertIs(SpeedState.UNKNOWN, estimator.state(E, now))

    def test_a_successor_restores_the_estimate(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        estimator.track_start(E, TargetStart(started_at=1))
        now = Instant(feed(estimator, 0.0, 2.0, 1.6))
        # The successor has a different clock.
        then = Instant(5000.0)
        successor = pace_estimator.PaceEstimator()
        for record in estimator.records(now):
            successor.restore(record, then)
        successor.track_start(E, TargetStart(started_at=1))
        known, found = estimator.pace(E, 0, now), successor.pace(E, 0, then)
        self.assertAlmostEqual(1.0, found.pace / known.pace, delta=0.1)

    def test_a_record_of_an_earlier_start_is_ignored(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        estimator.track_start(E, TargetStart(started_at=1))
        now = Instant(feed(estimator, 0.0, 2.0, 1.6))
        successor = pace_estimator.PaceEstimator()
        successor.track_start(E, TargetStart(started_at=2))
        for record in estimator.records(now):
            successor.restore(record, now)
        self.assertIs(SpeedState.UNKNOWN, successor.state(E, now))

    def test_a_stale_estimate_has_a_higher_deviation(self) -> None:
        estimator = pace_estimator.PaceEstimator()
        now = feed(estimator, 0.0, 2.0)
        soon = estimator.pace(E, 0, Instant(now)).deviation
        later = estimator.pace(E, 0, Instant(now + 60.0)).deviation
        self.assertGreater(later, soon)
