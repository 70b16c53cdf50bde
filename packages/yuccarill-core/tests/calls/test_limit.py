"""Test how concurrency limits move."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.calls import limit
from yuccarill.core.calls.load import LoadReport
from yuccarill.core.ids import Instant

QUEUED = LoadReport(2, 4)
FREE = LoadReport(1, 0)


def follow(
    made: limit.ConcurrencyLimit,
    report: LoadReport | None,
    windows: int,
    in_flight: int | None = None,
    seconds: float = 0.1,
    start: float = 0.0,
) -> None:
    """Answer calls for some windows, by default at the limit."""
    for window in range(windows):
        for _ in range(10):
            busy = int(made.value) if in_flight is None else in_flight
            now = Instant(start + window * 0.5)
            made.record_answer(seconds, report, busy, now)


class LimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = limit.ConcurrencyLimit(limit.LimitPolicy())

    def test_grows_while_targets_have_room(self) -> None:
        follow(self.limit, FREE, 10)
        self.assertGreater(self.limit.value, 100)

    def test_falls_while_targets_queue(self) -> None:
        follow(self.limit, FREE, 10)
        before = self.limit.value
        follow(self.limit, QUEUED, 10, start=10.0)
        self.assertLess(self.limit.value, before / 4)
        self.assertGreaterEqual(self.limit.value, 2.0)

    def test_cuts_once_for_what_was_sent_before(self) -> None:
        # Calls take 5 s. Those sent before a cut still queue at targets
        # for that long; cutting for them in each window would leave the
        # targets idle.
        follow(self.limit, FREE, 10, seconds=5.0)
        before = self.limit.value
        follow(self.limit, QUEUED, 8, seconds=5.0, start=10.0)
        self.assertGreaterEqual(self.limit.value, before / 2)

    def test_does_not_grow_unused(self) -> None:
        # A quiet night must not leave a limit that is none at the morning
        # rush: it comes down to a few times what is in flight.
        follow(self.limit, FREE, 10)
        follow(self.limit, FREE, 60, in_flight=4, start=10.0)
        self.assertLessEqual(self.limit.value, 10.0)

    @params((0.15, True), (0.5, False))
    def test_follows_latency_where_none_reports(
        self, seconds: float, is_growing: bool
    ) -> None:
        follow(self.limit, None, 4, seconds=0.1)
        before = self.limit.value
        follow(self.limit, None, 4, seconds=seconds, start=10.0)
        self.assertIs(is_growing, self.limit.value > before)

    def test_unequal_limits_come_together(self) -> None:
        # Two instances see the same queues at the targets. The one that
        # began with little must not stay at little.
        low = limit.ConcurrencyLimit(limit.LimitPolicy(initial=10.0))
        high = limit.ConcurrencyLimit(limit.LimitPolicy(initial=200.0))
        for step in range(600):
            total = low.value + high.value
            report = LoadReport(2, 2 if total > 200 else 0)
            for made in (low, high):
                follow(made, report, 1, start=step * 1.0)
        self.assertLess(high.value / low.value, 1.5)
