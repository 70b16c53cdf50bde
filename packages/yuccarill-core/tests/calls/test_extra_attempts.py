"""Test retry budgets, hedge delays and attempt deadlines."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.calls import attempt_budget
from yuccarill.core.calls import deadlines
from yuccarill.core.calls import hedging
from yuccarill.core.ids import Instant


class BudgetTest(unittest.TestCase):
    def test_extra_attempts_are_limited_to_a_fraction(self) -> None:
        # Guard against retries that multiply the load of failing targets.
        budget = attempt_budget.AttemptBudget(attempt_budget.BudgetPolicy())
        extra = 0
        for _ in range(1000):
            budget.deposit()
            extra += budget.withdraw()
        self.assertLessEqual(extra, 110)


class HedgingTest(unittest.TestCase):
    def test_waits_for_the_measured_percentile(self) -> None:
        timer = hedging.HedgeTimer(hedging.HedgePolicy())
        self.assertIsNone(timer.delay())
        for n in range(100):
            timer.record_latency(n / 100)
        self.assertAlmostEqual(0.95, timer.delay() or 0.0, delta=0.05)


class DeadlinesTest(unittest.TestCase):
    @params(
        (3, 0.0, 3.0),
        (1, 0.0, 9.0),
        (3, 1.0, 4.0),
        (3, 5.0, 9.0),
    )
    def test_divides_the_time_left(
        self, attempts: int, expected: float, share: float
    ) -> None:
        deadline = deadlines.attempt_deadline(
            Instant(1.0), Instant(10.0), attempts, expected
        )
        self.assertAlmostEqual(1.0 + share, deadline)
