"""Count a step's samples by stage, for status reports."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.rollouts.plan import StepPlan
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.work import StepWork


class SampleStage(enum.Enum):
    """Enumerate the stages of a sample, the earliest first."""

    SUBMITTED = 'submitted'
    ASSIGNED = 'assigned'
    GENERATING = 'generating'
    GENERATED = 'generated'
    SCORING = 'scoring'
    SCORED = 'scored'
    STORED = 'stored'
    IN_MANIFEST = 'in manifest'
    DELIVERED = 'delivered'
    ACKNOWLEDGED = 'acknowledged'


def count(
    work: StepWork,
    plan: StepPlan | None,
    finishing: dict[Place, SampleStage],
) -> collections.Counter[SampleStage]:
    """Count the samples of a step at each stage."""
    return collections.Counter(
        _stage(place, work, plan, finishing) for place in work.places()
    )


def describe(counted: collections.Counter[SampleStage]) -> str:
    """Return the counts as text, the earliest stage first."""
    return ', '.join(
        f'{counted[stage]} {stage.value}'
        for stage in SampleStage
        if counted[stage]
    )


def _stage(
    place: Place,
    work: StepWork,
    plan: StepPlan | None,
    finishing: dict[Place, SampleStage],
) -> SampleStage:
    if work.is_closed:
        return SampleStage.ACKNOWLEDGED
    if work.body is not None:
        return SampleStage.DELIVERED
    if work.manifest is not None:
        return SampleStage.IN_MANIFEST
    if place in work.finished_by_place:
        return SampleStage.STORED
    if place in finishing:
        return finishing[place]
    attempts = plan.attempts_by_place.get(place, ()) if plan else ()
    if any(attempt.made for attempt in attempts):
        return SampleStage.GENERATING
    return SampleStage.ASSIGNED if attempts else SampleStage.SUBMITTED
