"""Test the order of items in a plan, and its cost.

Guards against work for all items at each call: a large deployment has 57,344
items and 1,300 engines.
"""

from __future__ import annotations

import random
import unittest

import msgspec
from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.jobs import job_queue as board_module
from yuccarill.core.jobs import lengths
from yuccarill.core.jobs import planning
from yuccarill.core.speeds import pace_estimator

from . import items

NOW = Instant(10.0)
PACE = 0.04


class CountedLengths(lengths.TextLengths):
    """Count the estimates of lengths."""

    estimates = 0

    def expected(self, *args: object, **more: object) -> float:
        self.estimates += 1
        return super().expected(*args, **more)


def make_board(
    jobs: int, groups: int, size: int, seed: int = 1
) -> board_module.JobQueue:
    draw = random.Random(seed)
    board = board_module.JobQueue()
    board.lengths = CountedLengths()
    for number in range(jobs):
        job = items.make_job(f'j{number}', groups=groups, size=size)
        hinted = tuple(
            msgspec.structs.replace(item, hinted_tokens=draw.randrange(1, 60))
            for item in job.items
        )
        job = msgspec.structs.replace(job, items=hinted)
        board.add(items.make_state(job, 10.0 - number))
        for item in hinted[:20]:
            board.lengths.learn(ModelName('m'), item, item.hinted_tokens)
    return board


def make_plan(
    board: board_module.JobQueue, engines: int
) -> planning.FinishPlan:
    fleet = items.make_fleet(
        *(items.make_target(f'e{n}', slots=8) for n in range(engines))
    )
    fleet.speeds = pace_estimator.PaceEstimator()
    return planning.FinishPlan(board, fleet)


class FinishPlanTest(unittest.TestCase):
    def test_fitting_items_are_ordered_by_slack(self) -> None:
        for seed in range(20):
            board = make_board(3, 4, 3, seed)
            plan = make_plan(board, 20)
            found = [
                board.seconds_left(run, PACE)
                - board.jobs_by_id[run.job.id].due_at
                for run in plan.waiting(PACE, NOW)
            ]
            self.assertFalse(plan.is_short)
            expected = [
                board.seconds_left(run, PACE)
                - board.jobs_by_id[run.job.id].due_at
                for run in board.waiting(PACE)
            ]
            for one, other in zip(expected, found, strict=True):
                self.assertAlmostEqual(one, other)

    def test_each_waiting_item_comes_once(self) -> None:
        """Guards against items that are deferred forever."""
        board = make_board(3, 200, 8)
        plan = make_plan(board, 2)
        for _ in range(3):
            found = list(plan.waiting(PACE, NOW))
            self.assertTrue(plan.is_short)
            self.assertEqual(3 * 200 * 8, len(set(found)))
            self.assertEqual(len(set(found)), len(found))

    def test_a_text_that_waits_again_keeps_its_position(self) -> None:
        board = make_board(1, 10, 4)
        plan = make_plan(board, 20)
        first = next(plan.waiting(PACE, NOW))
        first.state = board_module.RunState.RUNNING
        self.assertIsNot(first, next(plan.waiting(PACE, NOW)))
        first.state = board_module.RunState.WAITING
        self.assertIs(first, next(plan.waiting(PACE, NOW)))

    @params((1, 22), (7, 1300))
    def test_a_call_costs_what_is_taken(self, jobs: int, engines: int) -> None:
        board = make_board(jobs, 1024, 8)
        plan = make_plan(board, engines)
        next(plan.waiting(PACE, NOW))
        counted = board.lengths
        for later in (0.01, 0.02):
            counted.estimates = 0
            waiting = plan.waiting(PACE, Instant(NOW + later))
            for _ in range(50):
                next(waiting).state = board_module.RunState.RUNNING
            # The items taken, and up to two others of each job.
            self.assertLessEqual(counted.estimates, 50 + 2 * jobs)

    @params((1, 22), (7, 1300))
    def test_a_new_plan_estimates_only_started_groups(
        self, jobs: int, engines: int
    ) -> None:
        board = make_board(jobs, 1024, 8)
        plan = make_plan(board, engines)
        waiting = plan.waiting(PACE, NOW)
        started = [next(waiting) for _ in range(50)]
        for run in started:
            run.state = board_module.RunState.RUNNING
        later = Instant(NOW + planning.PLAN_SECONDS)
        next(plan.waiting(PACE, later))
        counted = board.lengths
        counted.estimates = 0
        next(plan.waiting(PACE, Instant(later + planning.PLAN_SECONDS)))
        # The items of the started groups, and a few of each job.
        self.assertLessEqual(counted.estimates, 50 * 8 + 4 * jobs)
