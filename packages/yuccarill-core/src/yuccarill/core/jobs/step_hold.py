"""Decide when engines may leave the weights that the coming step runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.board import JobBoard

# Seconds after a version was named in which its step is waited for. A
# trainer asks for it 0.7 s later; one that is behind its time does not.
HOLD_SECONDS = 3.0


class StepHold:
    """Hold switches back until the step to come has its places.

    A trainer names version k and asks for step k right after, which may run
    on version k - 1. Engines that load version k in that moment are missing
    when all items of the step look for a place: the first of them began
    1.2 s late, and so did the longest text, which ends the step. Once each
    item has its place, a load stops only those at that engine.
    """

    def __init__(self) -> None:
        self._named_by_model: dict[
            ModelName, tuple[WeightVersion, Instant]
        ] = {}

    def held(
        self,
        versions_by_model: Mapping[ModelName, WeightVersion],
        board: JobBoard,
        now: Instant,
    ) -> set[ModelName]:
        """Return the models whose next step has not got its places yet."""
        return {
            model
            for model, version in versions_by_model.items()
            if now < self._named_at(model, version, now) + HOLD_SECONDS
            and not _is_placed(board, model, version)
        }

    def _named_at(
        self, model: ModelName, version: WeightVersion, now: Instant
    ) -> Instant:
        known = self._named_by_model.get(model)
        if known is None or known[0] != version:
            known = self._named_by_model[model] = (version, now)
        return known[1]


def _is_placed(
    board: JobBoard, model: ModelName, version: WeightVersion
) -> bool:
    steps = [
        state
        for state in board.jobs_by_id.values()
        if state.job.model == model and state.job.min_version >= version - 1
    ]
    return bool(steps) and not any(any(step.waiting()) for step in steps)
