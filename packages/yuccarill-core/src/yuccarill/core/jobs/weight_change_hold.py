"""Delay weight changes until the items of the coming step have engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.job_queue import JobQueue

# Seconds after a version is announced for which its step is awaited. A trainer
# that is late does not submit the step in time. A trainer that is in time
# submits it 0.7 s later.
HOLD_SECONDS = 3.0


class WeightChangeHold:
    """Track announced versions whose step has items without an engine.

    A trainer announces version k and then submits step k, which may run on
    version k - 1. Engines that load version k at that moment would be missing
    when all items of the step are placed, and the longest text, which ends the
    step, would start late. Later loads interrupt only the runs of one engine.
    """

    def __init__(self) -> None:
        self._announced_by_model: dict[
            ModelName, tuple[WeightVersion, Instant]
        ] = {}

    def held_models(
        self,
        versions_by_model: Mapping[ModelName, WeightVersion],
        queue: JobQueue,
        now: Instant,
    ) -> set[ModelName]:
        """Return the models whose next step is not placed yet."""
        return {
            model
            for model, version in versions_by_model.items()
            if now < self._announced_at(model, version, now) + HOLD_SECONDS
            and not _is_placed(queue, model, version)
        }

    def _announced_at(
        self, model: ModelName, version: WeightVersion, now: Instant
    ) -> Instant:
        announced = self._announced_by_model.get(model)
        if announced is None or announced[0] != version:
            announced = self._announced_by_model[model] = (version, now)
        return announced[1]


def _is_placed(
    queue: JobQueue, model: ModelName, version: WeightVersion
) -> bool:
    steps = [
        state
        for state in queue.jobs_by_id.values()
        if state.job.model == model and state.job.min_version >= version - 1
    ]
    return bool(steps) and not any(any(step.waiting()) for step in steps)
