"""Choose the groups of all open steps that can be complete in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.capacity import fairness
from yuccarill.core.ids import Instant
from yuccarill.core.jobs.job import GroupId
from yuccarill.core.jobs.job import JobId

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

# Seconds after the deadline in which a complete group still counts.
READ_SECONDS = 0.7
# Seconds of READ_SECONDS needed to publish a result and to read it.
LISTING_SECONDS = 0.4
# Fraction of the engines' throughput that is planned: texts run longer than
# expected, and the last ones leave slots empty.
USABLE_FRACTION = 0.8
# Lower bound of actual by expected length; the hints are inaccurate.
MIN_LENGTH_FRACTION = 0.5
# Steps behind the foremost trainer beyond which a weight grows no further.
MAX_STEPS_BEHIND = 2
# Weight that a trainer gains for each step that it is behind.
WEIGHT_PER_STEP_BEHIND = 0.25


class GroupNeed(msgspec.Struct, kw_only=True):
    """Hold the remaining work of one group, in events."""

    group: GroupId
    work: float
    # Remaining events of the longest text.
    longest: float
    is_begun: bool = False


class StepNeed(msgspec.Struct, kw_only=True):
    """Hold the remaining groups of one step, in order of preference."""

    job: JobId
    trainer: str
    step: int
    due_at: Instant
    groups: list[GroupNeed]

    def seconds(self, now: Instant) -> float:
        """Return the seconds left to complete groups."""
        return self.due_at + READ_SECONDS - LISTING_SECONDS - now


class Supply(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the throughput of the engines."""

    # Events per second of all slots together.
    rate: float
    # Median seconds per event of one text.
    pace: float


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the groups that run before all others."""

    groups_by_job: dict[JobId, set[GroupId]]
    # Jobs of trainers that need no more than their fair share.
    modest_jobs: set[JobId]


def is_short(
    steps: Collection[StepNeed], supply: Supply, now: Instant
) -> bool:
    """Return whether the engines can't complete all groups in time."""
    work = 0.0
    for step in sorted(steps, key=lambda step: step.due_at):
        work += sum(need.work for need in step.groups)
        seconds = max(0.0, step.seconds(now))
        if work > USABLE_FRACTION * supply.rate * seconds:
            return True
    return False


def choose_all(steps: Collection[StepNeed]) -> Choice:
    """Choose all groups, for engines that can complete them in time."""
    return Choice(
        groups_by_job={
            step.job: {need.group for need in step.groups} for step in steps
        },
        modest_jobs={step.job for step in steps},
    )


def choose_fitting(
    steps: Collection[StepNeed], supply: Supply, now: Instant
) -> Choice:
    """Choose the groups that run before all others.

    The engines' throughput is divided among trainers by max-min fairness, with
    a larger weight for a trainer that is behind. Each trainer's share goes to
    its steps in the order of their deadlines.
    """
    steps_by_trainer: dict[str, list[StepNeed]] = {}
    for step in sorted(steps, key=lambda step: step.due_at):
        steps_by_trainer.setdefault(step.trainer, []).append(step)
    feasible = {
        step.job: _feasible(step, step.seconds(now), supply.pace)
        for step in steps
    }
    wanted_rates = {
        trainer: _wanted_rate(own, feasible, now)
        for trainer, own in steps_by_trainer.items()
    }
    rates = fairness.max_min(
        wanted_rates,
        USABLE_FRACTION * supply.rate,
        _weights(steps),
    )
    groups_by_job: dict[JobId, set[GroupId]] = {}
    for trainer, own in steps_by_trainer.items():
        used = 0.0
        for step in own:
            capacity = rates[trainer] * max(0.0, step.seconds(now)) - used
            selected = _select(feasible[step.job], capacity)
            used += sum(need.work for need in selected)
            groups_by_job[step.job] = {need.group for need in selected}
    below_share = {
        step.job
        for step in steps
        if rates[step.trainer] >= wanted_rates[step.trainer]
    }
    return Choice(groups_by_job=groups_by_job, modest_jobs=below_share)


def _wanted_rate(
    steps: Sequence[StepNeed],
    feasible: Mapping[JobId, Sequence[GroupNeed]],
    now: Instant,
) -> float:
    """Return the events per second that meet all deadlines."""
    rate = work = 0.0
    for step in steps:
        work += sum(need.work for need in feasible[step.job])
        seconds = step.seconds(now)
        if seconds > 0.0:
            # A margin for rounding errors.
            rate = max(rate, 1.000001 * work / seconds)
    return rate


def _feasible(step: StepNeed, seconds: float, pace: float) -> list[GroupNeed]:
    """Return the groups that idle engines could complete in time."""
    return [
        n
        for n in step.groups
        if MIN_LENGTH_FRACTION * n.longest * pace <= seconds
    ]


def _select(groups: Sequence[GroupNeed], capacity: float) -> list[GroupNeed]:
    selected = []
    for need in groups:
        if need.work <= capacity:
            capacity -= need.work
            selected.append(need)
    return selected


def _weights(steps: Collection[StepNeed]) -> Mapping[str, float]:
    """Return each trainer's weight, by how many steps it is behind."""
    newest: dict[str, int] = {}
    for step in steps:
        newest[step.trainer] = max(newest.get(step.trainer, 0), step.step)
    foremost = max(newest.values(), default=0)
    return {
        trainer: 1.0
        + WEIGHT_PER_STEP_BEHIND * min(MAX_STEPS_BEHIND, foremost - number)
        for trainer, number in newest.items()
    }
