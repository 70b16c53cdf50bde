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
from yuccarill.core.jobs import job_queue as queue_module
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


def make_queue(
    jobs: int, groups: int, size: int, seed: int = 1
) -> queue_module.JobQueue:
    draw = random.Random(seed)
    queue = queue_module.JobQueue()
    queue.lengths = CountedLengths()
    for number in range(jobs):
        job = items.make_job(f'j{number}', groups=groups, size=size)
        hinted = tuple(
            msgspec.structs.replace(item, hinted_tokens=draw.randrange(1, 60))
            for item in job.items
        )
        job = msgspec.structs.replace(job, items=hinted)
        queue.add(items.make_state(job, 10.0 - number))
        for item in hinted[:20]:
            queue.lengths.learn(ModelName('m'), item, item.hinted_tokens)
    return queue


def make_plan(
    queue: queue_module.JobQueue, engines: int
) -> planning.FinishPlan:
    fleet = items.make_fleet(
        *(items.make_target(f'e{n}', slots=8) for n in range(engines))
    )
    fleet.speeds = pace_estimator.PaceEstimator()
    return planning.FinishPlan(queue, fleet)


class FinishPlanTest(unittest.TestCase):
    def test_fitting_items_are_ordered_by_slack(self) -> None:
        for seed in range(20):
            queue = make_queue(3, 4, 3, seed)
            plan = make_plan(queue, 20)
            found = [
                queue.seconds_left(run, PACE)
                - queue.jobs_by_id[run.job.id].due_at
                for run in plan.waiting(PACE, NOW)
            ]
            self.assertFalse(plan.is_short)
            expected = [
                queue.seconds_left(run, PACE)
                - queue.jobs_by_id[run.job.id].due_at
                for run in queue.waiting(PACE)
            ]
            for one, other in zip(expected, found, strict=True):
                self.assertAlmostEqual(one, other)

    def test_each_waiting_item_comes_once(self) -> None:
        """Guards against items that are deferred forever."""
        queue = make_queue(3, 200, 8)
        plan = make_plan(queue, 2)
        for _ in range(3):
            found = list(plan.waiting(PACE, NOW))
            self.assertTrue(plan.is_short)
            self.assertEqual(3 * 200 * 8, len(set(found)))
            self.assertEqual(len(set(found)), len(found))

    def test_a_text_that_waits_again_keeps_its_position(self) -> None:
        queue = make_queue(1, 10, 4)
        plan = make_plan(queue, 20)
        first = next(plan.waiting(PACE, NOW))
        first.state = queue_module.RunState.RUNNING
        self.assertIsNot(first, next(plan.waiting(PACE, NOW)))
        first.state = queue_module.RunState.WAITING
        self.assertIs(first, next(plan.waiting(PACE, NOW)))

    @params((1, 22), (7, 1300))
    def test_a_call_costs_what_is_taken(self, jobs: int, engines: int) -> None:
        queue = make_queue(jobs, 1024, 8)
        plan = make_plan(queue, engines)
        next(plan.waiting(PACE, NOW))
        counted = queue.lengths
        for later in (0.01, 0.02):
            counted.estimates = 0
            waiting = plan.waiting(PACE, Instant(NOW + later))
            for _ in range(50):
                next(waiting).state = queue_module.RunState.RUNNING
            # One estimate per taken item, and up to two others per job.
            self.assertLessEqual(counted.estimates, 50 + 2 * jobs)

    @params((1, 22), (7, 1300))
    def test_a_new_plan_estimates_only_started_groups(
        self, jobs: int, engines: int
    ) -> None:
        queue = make_queue(jobs, 1024, 8)
        plan = make_plan(queue, engines)
        waiting = plan.waiting(PACE, NOW)
        started = [next(waiting) for _ in range(50)]
        for run in started:
            run.state = queue_module.RunState.RUNNING
        later = Instant(NOW + planning.PLAN_SECONDS)
        next(plan.waiting(PACE, later))
        counted = queue.lengths
        counted.estimates = 0
        next(plan.waiting(PACE, Instant(later + planning.PLAN_SECONDS)))
        # Each item of the started groups, and up to four others per job.
        self.assertLessEqual(counted.estimates, 50 * 8 + 4 * jobs)
