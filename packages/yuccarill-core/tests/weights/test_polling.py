"""Test the schedule of reads of targets' states."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.weights import polling


class PollingTest(unittest.TestCase):
    @params((20, True, 240), (1300, True, 240), (20, False, 60))
    def test_reads_per_minute(
        self, count: int, is_reachable: bool, expected: int
    ) -> None:
        # Many targets, or unreachable ones, must not raise the rate of reads
        # above its limit.
        polls = polling.PollSchedule(Instant(0.0))
        polls.set_targets(
            [TargetId(f't{n:04}') for n in range(count)], Instant(0.0)
        )
        read: list[TargetId] = []
        for tick in range(240):
            now = Instant(tick * 0.25)
            for target in polls.due(now):
                read.append(target)
                polls.finish(target, is_reachable, now)
        self.assertAlmostEqual(expected, len(read), delta=expected * 0.12)
        self.assertEqual(min(count, len(read)), len(set(read)))
