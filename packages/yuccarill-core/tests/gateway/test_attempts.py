"""Test when an idempotent request is retried or hedged."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import attempts
from yuccarill.core.gateway.attempts import Next
from yuccarill.core.ids import Instant


def plan(max_attempts: int = 2) -> attempts.AttemptPlan:
    return attempts.AttemptPlan(
        deadline=Instant(1.0), max_attempts=max_attempts, hedge_delay=0.06
    )


class AttemptPlanTest(unittest.TestCase):
    # Start times, ended attempts, current time, next action.
    @params(
        ([], 0, 0.0, Next.START),
        ([], 0, 1.0, Next.GIVE_UP),
        ([0.0], 0, 0.05, Next.WAIT),
        ([0.0], 0, 0.07, Next.START),
        ([0.0], 1, 0.01, Next.START),
        ([0.0, 0.06], 0, 0.5, Next.WAIT),
        ([0.0, 0.06], 1, 0.5, Next.WAIT),
        ([0.0, 0.06], 2, 0.5, Next.GIVE_UP),
        ([0.0, 0.06], 0, 1.0, Next.GIVE_UP),
    )
    def test_next(
        self, starts: list[float], ended: int, now: float, expected: Next
    ) -> None:
        found = plan()
        for start in starts:
            found.start(Instant(start))
        for _ in range(ended):
            found.end()
        self.assertIs(expected, found.next(Instant(now)))

    def test_one_attempt_is_never_hedged(self) -> None:
        found = plan(max_attempts=1)
        found.start(Instant(0.0))
        self.assertIs(Next.WAIT, found.next(Instant(0.9)))
        self.assertEqual(1.0, found.wakes_at())

    @params((0.15, 0.06), (0.8, 0.32), (0.05, 0.04))
    def test_hedge_delay(self, objective: float, expected: float) -> None:
        self.assertAlmostEqual(expected, attempts.hedge_delay(objective))
