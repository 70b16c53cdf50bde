"""Record which weights engines have and which prompts they cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import GroupNumber
    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.plan import StepPlan
    from yuccarill.core.rollouts.sample import Place

# Seconds after which an engine that reported old weights is tried again.
OLD_VERSION_SECONDS = 2.0


class EngineHistory:
    """Record each engine's last reported version and last started group."""

    def __init__(self) -> None:
        # An engine may have a different version for each trainer.
        self._versions_by_engine: dict[
            tuple[TrainerId, TargetId], tuple[WeightVersion, Instant]
        ] = {}
        self._cached_groups_by_engine: dict[
            TargetId, tuple[StepPlan, GroupNumber]
        ] = {}

    def record_version(
        self,
        trainer: TrainerId,
        engine: TargetId,
        version: WeightVersion,
        now: Instant,
    ) -> None:
        """Record the version that an engine reported in a stream."""
        self._versions_by_engine[trainer, engine] = (version, now)

    def may_have_version(
        self, trainer: TrainerId, engine: TargetId, oldest: int, now: Instant
    ) -> bool:
        """Return whether an engine may have `oldest` or a newer version."""
        seen = self._versions_by_engine.get((trainer, engine))
        # Only a new stream can show that the engine has newer weights.
        return (
            seen is None
            or seen[0] >= oldest
            or seen[1] < now - OLD_VERSION_SECONDS
        )

    def record_start(
        self, engine: TargetId, plan: StepPlan, place: Place
    ) -> None:
        """Record the group that an engine has started last."""
        self._cached_groups_by_engine[engine] = (plan, place.group)

    def cached_group(
        self, engine: TargetId, plan: StepPlan
    ) -> GroupNumber | None:
        """Return the group of a step whose prompt the engine has cached."""
        cached_plan, group = self._cached_groups_by_engine.get(
            engine, (None, None)
        )
        return group if cached_plan is plan else None

    def forget(self, plan: StepPlan) -> None:
        """Drop the cached groups of a step."""
        # A reference would keep the samples of the closed step in memory.
        self._cached_groups_by_engine = {
            engine: cached
            for engine, cached in self._cached_groups_by_engine.items()
            if cached[0] is not plan
        }
