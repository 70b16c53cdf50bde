"""Test placement under heavy loads, compared with naive decisions.

Naive decisions send an item to the engine with the fewest runs and leave it
there.
"""

from __future__ import annotations

import math
import unittest

from nose2.tools import params

from yuccarill.core.ids import TargetId

from . import load_model

# Arrival times of steps, in seconds, and the deadline of each.
STEPS = (0.0, 4.0, 8.0, 12.0)
DEADLINE_SECONDS = 7.5


def steady(engine: TargetId, now: float) -> float:
    return 1.0


def one_slow(engine: TargetId, now: float) -> float:
    return 4.0 if engine == 'e0' and 2.0 <= now < 10.0 else 1.0


def one_silent(engine: TargetId, now: float) -> float:
    return math.inf if engine == 'e0' and 2.0 <= now < 7.0 else 1.0


def slow_and_silent(engine: TargetId, now: float) -> float:
    if engine == 'e1' and 1.0 <= now < 9.0:
        return 3.0
    return one_silent(engine, now)


class HeavyLoadTest(unittest.TestCase):
    # Name, engines, slots per engine, groups per step, items per group, fault,
    # and maximum seconds until nine tenths of a step's groups are complete.
    # The longest text alone takes about 3 s.
    patterns = (
        ('calm', 6, 12, 12, 8, steady, 5.0),
        ('one engine of six four times as slow', 6, 12, 12, 8, one_slow, 6.0),
        ('one engine of five silent', 5, 8, 18, 4, one_silent, 6.0),
        ('one slow, one silent of five', 5, 8, 18, 4, slow_and_silent, 7.5),
        ('twice the load', 6, 12, 24, 8, steady, 6.0),
    )

    @params(*patterns)
    def test_steps_are_complete_in_time(
        self,
        name: str,
        engines: int,
        slots: int,
        groups: int,
        size: int,
        slowness: object,
        limit: float,
    ) -> None:
        jobs = dict.fromkeys(STEPS, groups)
        model = load_model.Model(engines, slots, slowness, is_naive=False)
        seconds = model.play(jobs, size)
        self.assertLess(max(seconds), limit, (name, seconds))
        self.assertLess(max(seconds), DEADLINE_SECONDS)

    @params(*patterns[1:4])
    def test_naive_decisions_are_late(
        self,
        name: str,
        engines: int,
        slots: int,
        groups: int,
        size: int,
        slowness: object,
        limit: float,
    ) -> None:
        jobs = dict.fromkeys(STEPS, groups)
        naive = load_model.Model(engines, slots, slowness, is_naive=True)
        product = load_model.Model(engines, slots, slowness, is_naive=False)
        worst_naive = max(naive.play(jobs, size))
        worst = max(product.play(jobs, size))
        self.assertLess(worst, worst_naive, name)

    @params(
        # 200 texts for 80 slots. The longest text alone takes 7.6 s, slightly
        # more than the deadline of 7.5 s.
        ('more texts than slots', 5, 16, 50, 4),
        ('groups of 16 on few slots', 10, 8, 12, 16),
    )
    def test_the_longest_text_does_not_wait(
        self, name: str, engines: int, slots: int, groups: int, size: int
    ) -> None:
        jobs = dict.fromkeys(STEPS, groups)
        late = {True: 0.0, False: 0.0}
        for is_naive in late:
            for seed in range(2):
                model = load_model.Model(
                    engines, slots, steady, is_naive, seed, 20, 200
                )
                late[is_naive] += sum(model.play(jobs, size))
        # At least 0.2 s for each of eight steps.
        self.assertLess(late[False] + 8 * 0.2, late[True], (name, late))

    def test_runs_move_rarely(self) -> None:
        # Each move costs a new connection.
        jobs = dict.fromkeys(STEPS, 12)
        model = load_model.Model(6, 12, one_slow, is_naive=False)
        model.play(jobs, 8)
        items = len(STEPS) * 12 * 8
        self.assertLess(model.runs, 1.3 * items)
