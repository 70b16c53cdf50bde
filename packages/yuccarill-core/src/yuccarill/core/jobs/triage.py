"""Decide which groups of all open steps can be whole in time."""

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

# Seconds after it is due until which a whole group may be read in time.
READ_SECONDS = 0.7
# Seconds of these that listing a result and reading it take.
LISTING_SECONDS = 0.4
# Part of the engines' time that is given away: a text may be longer than
# expected, and the last ones leave places empty.
USED_PART = 0.8
# Part of an expected length that a text surely has: hints are far off.
SURE_PART = 0.5
# Steps behind the foremost trainer that still raise a trainer's claim.
MOST_BEHIND = 2
# Part by which each of them raises it.
CREDIT_PART = 0.25


class GroupNeed(msgspec.Struct, kw_only=True):
    """Hold what one group still needs, in events."""

    group: GroupId
    work: float
    # Those of its longest text.
    longest: float
    is_begun: bool = False


class StepNeed(msgspec.Struct, kw_only=True):
    """Hold what one step still needs; its groups in the wanted order."""

    job: JobId
    trainer: str
    step: int
    due_at: Instant
    groups: list[GroupNeed]

    def seconds(self, now: Instant) -> float:
        """Return how long its groups may still take."""
        return self.due_at + READ_SECONDS - LISTING_SECONDS - now


class Supply(msgspec.Struct, frozen=True, kw_only=True):
    """Say what the engines can do."""

    # Events a second of all places together.
    rate: float
    # Seconds an event of one text at the engines that are not slow.
    pace: float


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is worked on before all else."""

    groups_by_job: dict[JobId, set[GroupId]]
    # Steps of trainers that ask for less than their part.
    modest_jobs: set[JobId]


def is_short(
    steps: Collection[StepNeed], supply: Supply, now: Instant
) -> bool:
    """Tell whether the engines can't make all groups whole in time."""
    work = 0.0
    for step in sorted(steps, key=lambda step: step.due_at):
        work += sum(need.work for need in step.groups)
        seconds = max(0.0, step.seconds(now))
        if work > USED_PART * supply.rate * seconds:
            return True
    return False


def everything(steps: Collection[StepNeed]) -> Choice:
    """Return all groups, for engines that can do them all in time."""
    return Choice(
        groups_by_job={
            step.job: {need.group for need in step.groups} for step in steps
        },
        modest_jobs={step.job for step in steps},
    )


def fitting(
    steps: Collection[StepNeed], supply: Supply, now: Instant
) -> Choice:
    """Return the groups that are worked on before all others.

    What the engines do in a second is divided among trainers by max-min
    fairness, and one that is behind has a larger claim. Each trainer's part
    goes to its steps by their due times.
    """
    steps_by_trainer: dict[str, list[StepNeed]] = {}
    for step in sorted(steps, key=lambda step: step.due_at):
        steps_by_trainer.setdefault(step.trainer, []).append(step)
    feasible = {
        step.job: _feasible(step, step.seconds(now), supply.pace)
        for step in steps
    }
    wanted = {
        trainer: _wanted_rate(own, feasible, now)
        for trainer, own in steps_by_trainer.items()
    }
    rates = fairness.max_min(
        wanted,
        USED_PART * supply.rate,
        _weights(steps),
    )
    found: dict[JobId, set[GroupId]] = {}
    for trainer, own in steps_by_trainer.items():
        used = 0.0
        for step in own:
            room = rates[trainer] * max(0.0, step.seconds(now)) - used
            taken = _taken(feasible[step.job], room)
            used += sum(need.work for need in taken)
            found[step.job] = {need.group for need in taken}
    modest = {
        step.job
        for step in steps
        if rates[step.trainer] >= wanted[step.trainer]
    }
    return Choice(groups_by_job=found, modest_jobs=modest)


def _wanted_rate(
    steps: Sequence[StepNeed],
    feasible: Mapping[JobId, Sequence[GroupNeed]],
    now: Instant,
) -> float:
    """Return the events a second by which all its steps are in time."""
    rate = work = 0.0
    for step in steps:
        work += sum(need.work for need in feasible[step.job])
        seconds = step.seconds(now)
        if seconds > 0.0:
            # A hair more than it takes, for what rounding takes away.
            rate = max(rate, 1.000001 * work / seconds)
    return rate


def _feasible(step: StepNeed, seconds: float, pace: float) -> list[GroupNeed]:
    """Return the groups that may be whole in time on free engines."""
    return [n for n in step.groups if SURE_PART * n.longest * pace <= seconds]


def _taken(groups: Sequence[GroupNeed], room: float) -> list[GroupNeed]:
    taken = []
    for need in groups:
        if need.work <= room:
            room -= need.work
            taken.append(need)
    return taken


def _weights(steps: Collection[StepNeed]) -> Mapping[str, float]:
    """Return each trainer's claim, by how many steps it is behind."""
    newest: dict[str, int] = {}
    for step in steps:
        newest[step.trainer] = max(newest.get(step.trainer, 0), step.step)
    first = max(newest.values(), default=0)
    return {
        trainer: 1.0 + CREDIT_PART * min(MOST_BEHIND, first - number)
        for trainer, number in newest.items()
    }
