"""Test which groups run first on overloaded engines."""

from __future__ import annotations

import unittest

from yuccarill.core.ids import Instant
from yuccarill.core.jobs.job import GroupId
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs import triage

NOW = Instant(0.0)
SUPPLY = triage.Supply(rate=100.0, pace=0.04)


def step(
    name: str,
    works: list[float],
    due_at: float = 7.5,
    longest: float = 10.0,
    trainer: str | None = None,
    number: int = 0,
) -> triage.StepNeed:
    return triage.StepNeed(
        job=JobId(name),
        trainer=trainer or name,
        step=number,
        due_at=Instant(due_at),
        groups=[
            triage.GroupNeed(
                group=GroupId(f'{name}-{index}'), work=work, longest=longest
            )
            for index, work in enumerate(works)
        ],
    )


def counts(*steps: triage.StepNeed) -> list[int]:
    found = triage.choose_fitting(steps, SUPPLY, NOW)
    return [len(found.groups_by_job[step.job]) for step in steps]


class TriageTest(unittest.TestCase):
    # Planned events in 7.8 s at 100 events per second, less a rounding margin.
    amount = 99.9 * triage.USABLE_FRACTION * 7.8

    def test_fitting_steps_are_not_short(self) -> None:
        steps = [
            step('a', [self.amount / 2.1]),
            step('b', [self.amount / 2.1]),
        ]
        self.assertFalse(triage.is_short(steps, SUPPLY, NOW))
        self.assertEqual([1, 1], counts(*steps))

    def test_an_equal_share_of_each_is_chosen_under_overload(self) -> None:
        works = [self.amount / 10.0] * 10
        steps = [step('a', works), step('b', works)]
        self.assertTrue(triage.is_short(steps, SUPPLY, NOW))
        self.assertEqual([5, 5], counts(*steps))

    def test_a_flood_does_not_reduce_a_small_demand(self) -> None:
        part = self.amount / 10.0
        steps = [step('flood', [part] * 90), step('small', [part] * 2)]
        found = triage.choose_fitting(steps, SUPPLY, NOW)
        self.assertEqual([8, 2], counts(*steps))
        self.assertEqual({'small'}, found.modest_jobs)

    def test_a_trainer_that_is_behind_has_a_larger_weight(self) -> None:
        part = self.amount / 12.0
        ahead = step('a', [part] * 12, number=5)
        behind = step('b', [part] * 12, number=4)
        self.assertEqual([5, 6], counts(ahead, behind))

    def test_groups_that_can_not_be_complete_get_nothing(self) -> None:
        """Guards against late groups that delay others."""
        late = step('a', [50.0, 50.0], longest=600.0)
        gone = step('b', [50.0], due_at=-1.0)
        other = step('c', [50.0])
        self.assertEqual([0, 0, 1], counts(late, gone, other))

    def test_the_step_with_the_earliest_deadline_goes_first(self) -> None:
        part = self.amount / 10.0
        first = step('a', [part] * 10, trainer='t', due_at=7.5)
        second = step('b', [part] * 10, trainer='t', due_at=11.5)
        found = counts(second, first)
        self.assertEqual(10, found[1])
        self.assertLess(found[0], 10)
