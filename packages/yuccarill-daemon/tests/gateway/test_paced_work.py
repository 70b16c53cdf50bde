"""Test that work that is asked for often leaves the loop to others."""

from __future__ import annotations

import unittest

from twisted.internet import task

from yuccarill.daemon.gateway.jobs import paced_work


class PacedWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.done: list[float] = []
        # Seconds that the work takes.
        self.seconds = 0.0
        self.paced = paced_work.PacedWork(self.work, self.clock)

    def work(self) -> None:
        self.done.append(self.clock.seconds())
        self.clock.rightNow += self.seconds

    def test_quick_work_is_done_at_once(self) -> None:
        for _ in range(5):
            self.paced.request()
        self.assertEqual(5, len(self.done))

    def test_slow_work_has_a_part_of_the_time(self) -> None:
        """A holder of 888 engines did little but look at them.

        Each change of an entry, and each end of a change of weights, asks for
        a look at all engines; weights change at all of them within a second.
        """
        self.seconds = 0.04
        while self.clock.seconds() < 10.0:
            self.paced.request()
            self.clock.advance(0.01)
        spent = len(self.done) * self.seconds
        self.assertLessEqual(spent, 1.1 * paced_work.TIME_FRACTION * 10.0)
        self.assertGreater(len(self.done), 20)

    def test_what_is_asked_for_last_is_done(self) -> None:
        self.seconds = 0.04
        self.paced.request()
        self.paced.request()
        self.assertEqual(1, len(self.done))
        self.clock.advance(1.0)
        self.assertEqual(2, len(self.done))

    def test_nothing_is_done_after_the_stop(self) -> None:
        self.seconds = 0.04
        self.paced.request()
        self.paced.request()
        self.paced.stop()
        self.clock.advance(1.0)
        self.assertEqual(1, len(self.done))
