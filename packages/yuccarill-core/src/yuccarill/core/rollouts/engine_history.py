"""What engines were seen to do: weights they had, prompts they cached."""

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

# An engine that was seen with old weights is tried again after this time.
KNOWN_OLD_SECONDS = 2.0


class EngineHistory:
    """Remember each engine's last weight version and last group."""

    def __init__(self) -> None:
        # An engine may hold another version for each trainer that it serves.
        self._versions_by_engine: dict[
            tuple[TrainerId, TargetId], tuple[WeightVersion, Instant]
        ] = {}
        self._warm_by_engine: dict[TargetId, tuple[StepPlan, GroupNumber]] = {}

    def note_version(
        self,
        trainer: TrainerId,
        engine: TargetId,
        version: WeightVersion,
        now: Instant,
    ) -> None:
        """Take the version that an engine's stream named."""
        self._versions_by_engine[trainer, engine] = (version, now)

    def may_have(
        self, trainer: TrainerId, engine: TargetId, oldest: int, now: Instant
    ) -> bool:
        """Tell whether an engine may have a version or a newer one."""
        seen = self._versions_by_engine.get((trainer, engine))
        # Only a stream tells that the engine has newer weights by now.
        return (
            seen is None
            or seen[0] >= oldest
            or seen[1] < now - KNOWN_OLD_SECONDS
        )

    def note_start(
        self, engine: TargetId, plan: StepPlan, place: Place
    ) -> None:
        """Take the place that an engine was given last."""
        self._warm_by_engine[engine] = (plan, place.group)

    def warm_group(
        self, engine: TargetId, plan: StepPlan
    ) -> GroupNumber | None:
        """Return the group of a step whose prompt an engine has cached."""
        warm_plan, group = self._warm_by_engine.get(engine, (None, None))
        return group if warm_plan is plan else None

    def forget(self, plan: StepPlan) -> None:
        """Drop what engines have cached of a step."""
        # It would keep the closed step's bytes.
        self._warm_by_engine = {
            engine: warm
            for engine, warm in self._warm_by_engine.items()
            if warm[0] is not plan
        }
