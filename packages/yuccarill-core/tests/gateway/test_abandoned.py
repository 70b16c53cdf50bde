"""Test which abandoned runs count when a target exits."""

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

    # Seconds since the run was abandoned, whether it counts.
    @params((0.0, True), (1.9, True), (2.0, False))
    def test_a_run_counts_until_it_expires(
        self, seconds: float, counts: bool
    ) -> None:
        self.runs.add(T, X, R, True, NOW, NOW)
        now = Instant(10.0 + seconds)
        self.assertEqual(int(counts), self.runs.failed_run_count(X, now))
        self.assertEqual(
            {X: R} if counts else {}, self.runs.pop_running_at(T, now, now)
        )

    def test_an_exit_removes_the_runs_of_its_target(self) -> None:
        for target in (T, TargetId('u')):
            self.runs.add(target, X, R, True, NOW, NOW)
        self.assertEqual({X: R}, self.runs.pop_running_at(T, NOW, NOW))
        self.assertEqual({}, self.runs.pop_running_at(T, NOW, NOW))
        self.assertEqual(1, self.runs.failed_run_count(X, NOW))

    def test_a_cancelled_run_is_no_failure(self) -> None:
        self.runs.add(T, X, R, False, NOW, NOW)
        self.assertEqual(0, self.runs.failed_run_count(X, NOW))
        self.assertEqual({X: R}, self.runs.pop_running_at(T, NOW, NOW))

    # Start of the run, whether it was under way at an exit at 10 s.
    @params((9.9, True), (10.1, False))
    def test_a_run_that_began_after_the_exit(
        self, began_at: float, counts: bool
    ) -> None:
        """Guards against blame on requests that never reached a process."""
        now = Instant(12.0)
        self.runs.add(T, X, R, True, Instant(began_at), now)
        expected = {X: R} if counts else {}
        self.assertEqual(expected, self.runs.pop_running_at(T, NOW, now))

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * abandoned.MAX_ABANDONED_RUNS):
            self.runs.add(T, ContentDigest(f'c{number}'), R, True, NOW, NOW)
        self.assertEqual(
            abandoned.MAX_ABANDONED_RUNS,
            len(self.runs.pop_running_at(T, NOW, NOW)),
        )
        self.assertEqual(0, len(self.runs._failed_by_content))
