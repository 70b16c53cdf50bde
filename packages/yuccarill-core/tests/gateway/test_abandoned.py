"""Test which runs that were given up count at the end of a target."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import abandoned
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

X = ContentDigest('x')
R = RequestId('r')
T = TargetId('t')
NOW = Instant(10.0)


class AbandonedRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runs = abandoned.AbandonedRuns()

    # Seconds since the run was given up, and whether it counts.
    @params((0.0, True), (1.9, True), (2.0, False))
    def test_a_target_may_go_on_for_a_while(
        self, seconds: float, counts: bool
    ) -> None:
        self.runs.note(T, X, R, True, NOW, NOW)
        now = Instant(10.0 + seconds)
        self.assertEqual(int(counts), self.runs.unsettled(X, now))
        self.assertEqual({X: R} if counts else {}, self.runs.take(T, now, now))

    def test_an_end_settles_the_runs_of_its_target(self) -> None:
        for target in (T, TargetId('u')):
            self.runs.note(target, X, R, True, NOW, NOW)
        self.assertEqual({X: R}, self.runs.take(T, NOW, NOW))
        self.assertEqual({}, self.runs.take(T, NOW, NOW))
        self.assertEqual(1, self.runs.unsettled(X, NOW))

    def test_a_run_that_was_cancelled_is_no_failure(self) -> None:
        self.runs.note(T, X, R, False, NOW, NOW)
        self.assertEqual(0, self.runs.unsettled(X, NOW))
        self.assertEqual({X: R}, self.runs.take(T, NOW, NOW))

    # When the run began, and whether it was there at an end at 10 s.
    @params((9.9, True), (10.1, False))
    def test_a_run_that_began_after_the_end(
        self, began_at: float, counts: bool
    ) -> None:
        """Requests were blamed that waited at an open port for nobody."""
        now = Instant(12.0)
        self.runs.note(T, X, R, True, Instant(began_at), now)
        expected = {X: R} if counts else {}
        self.assertEqual(expected, self.runs.take(T, NOW, now))

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * abandoned.MAX_ABANDONED):
            self.runs.note(T, ContentDigest(f'c{number}'), R, True, NOW, NOW)
        self.assertEqual(
            abandoned.MAX_ABANDONED, len(self.runs.take(T, NOW, NOW))
        )
        self.assertEqual(0, len(self.runs._failed_by_content))
