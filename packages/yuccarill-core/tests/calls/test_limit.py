"""Test how concurrency limits adapt."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.calls import limit
from yuccarill.core.calls.load import LoadReport
from yuccarill.core.ids import Instant

QUEUED = LoadReport(2, 4)
FREE = LoadReport(1, 0)


def record_answers(
    adapted: limit.ConcurrencyLimit,
    report: LoadReport | None,
    windows: int,
    in_flight: int | None = None,
    seconds: float = 0.1,
    start: float = 0.0,
) -> None:
    """Record answers for a number of windows, by default at the limit."""
    for window in range(windows):
        for _ in range(10):
            busy = int(adapted.value) if in_flight is None else in_flight
            now = Instant(start + window * 0.5)
            adapted.record_answer(seconds, report, busy, now)


class LimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = limit.ConcurrencyLimit(limit.LimitPolicy())

    def test_grows_while_targets_have_room(self) -> None:
        record_answers(self.limit, FREE, 10)
        self.assertGreater(self.limit.value, 100)

    def test_falls_while_targets_queue(self) -> None:
        record_answers(self.limit, FREE, 10)
        before = self.limit.value
        record_answers(self.limit, QUEUED, 10, start=10.0)
        self.assertLess(self.limit.value, before / 4)
        self.assertGreaterEqual(self.limit.value, 2.0)

    def test_decreases_once_for_calls_sent_before(self) -> None:
        # Guard against repeated decreases for the same queued calls, which
        # would leave the targets idle.
        record_answers(self.limit, FREE, 10, seconds=5.0)
        before = self.limit.value
        record_answers(self.limit, QUEUED, 8, seconds=5.0, start=10.0)
        self.assertGreaterEqual(self.limit.value, before / 2)

    def test_falls_while_unused(self) -> None:
        # Guard against an unused high limit that does not protect targets
        # from a sudden load.
        record_answers(self.limit, FREE, 10)
        record_answers(self.limit, FREE, 60, in_flight=4, start=10.0)
        self.assertLessEqual(self.limit.value, 10.0)

    @params((0.15, True), (0.5, False))
    def test_follows_latency_without_load_reports(
        self, seconds: float, is_growing: bool
    ) -> None:
        record_answers(self.limit, None, 4, seconds=0.1)
        before = self.limit.value
        record_answers(self.limit, None, 4, seconds=seconds, start=10.0)
        self.assertIs(is_growing, self.limit.value > before)

    def test_unequal_limits_converge(self) -> None:
        # Guard against an instance that keeps a low initial limit.
        low = limit.ConcurrencyLimit(limit.LimitPolicy(initial=10.0))
        high = limit.ConcurrencyLimit(limit.LimitPolicy(initial=200.0))
        for step in range(600):
            total = low.value + high.value
            report = LoadReport(2, 2 if total > 200 else 0)
            for adapted in (low, high):
                record_answers(adapted, report, 1, start=step * 1.0)
        self.assertLess(high.value / low.value, 1.5)
