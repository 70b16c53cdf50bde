"""Test that frequently requested work does not block the event loop."""

from __future__ import annotations

import unittest

from twisted.internet import task

from yuccarill.daemon.gateway.jobs import paced_work


class PacedWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.done: list[float] = []
        self.seconds = 0.0
        self.paced = paced_work.PacedWork(self.work, self.clock)

    def work(self) -> None:
        self.done.append(self.clock.seconds())
        self.clock.rightNow += self.seconds

    def test_quick_work_runs_immediately(self) -> None:
        for _ in range(5):
            self.paced.request()
        self.assertEqual(5, len(self.done))

    def test_slow_work_gets_a_fraction_of_the_time(self) -> None:
        """Guard against surveys of many engines that use all loop time."""
        self.seconds = 0.04
        while self.clock.seconds() < 10.0:
            self.paced.request()
            self.clock.advance(0.01)
        spent = len(self.done) * self.seconds
        self.assertLessEqual(spent, 1.1 * paced_work.TIME_FRACTION * 10.0)
        self.assertGreater(len(self.done), 20)

    def test_the_last_request_is_served(self) -> None:
        self.seconds = 0.04
        self.paced.request()
        self.paced.request()
        self.assertEqual(1, len(self.done))
        self.clock.advance(1.0)
        self.assertEqual(2, len(self.done))

    def test_no_work_runs_after_the_stop(self) -> None:
        self.seconds = 0.04
        self.paced.request()
        self.paced.request()
        self.paced.stop()
        self.clock.advance(1.0)
        self.assertEqual(1, len(self.done))
