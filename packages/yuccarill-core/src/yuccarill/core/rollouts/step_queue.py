"""Queue the steps of one trainer by weighted fair queueing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.config import inventory
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import plan as plan_module
from yuccarill.core.rollouts import sample as sample_module

if TYPE_CHECKING:
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.rollouts.plan import Attempt
    from yuccarill.core.rollouts.plan import StepPlan
    from yuccarill.core.rollouts.work import StepWork


class Lane:
    """Hold one trainer's open steps and the last virtual finish time."""

    def __init__(self, trainer: Trainer) -> None:
        self.trainer = trainer
        self.newest = WeightVersion(0)
        self.plans: list[StepPlan] = []
        self._last_finish_tag = 0.0
        # Time of the next check for hedged attempts.
        self.hedge_due = 0.0

    def open_step(
        self, trainer: Trainer, work: StepWork, virtual_time: float
    ) -> None:
        """Queue a step behind the trainer's earlier ones."""
        self.trainer = trainer
        self.newest = max(self.newest, work.request.newest_version)
        # Weighted fair queueing with a step as the packet. With samples as
        # packets, all trainers' steps would end at once, and engines would be
        # idle while the trainers train.
        start_tag = max(self._last_finish_tag, virtual_time)
        self._last_finish_tag = start_tag + work.request.size / trainer.share
        self.plans.append(plan_module.StepPlan(work, self._last_finish_tag))
        self.plans.sort(key=lambda plan: plan.work.step)

    def plan_of(self, work: StepWork) -> StepPlan | None:
        """Return the plan of a step, None if the step is not queued."""
        return next((plan for plan in self.plans if plan.work is work), None)

    def startable_plans(self) -> list[tuple[int, StepPlan]]:
        """Return the plans with waiting places and their queue positions."""
        limit = min(_steps_ahead(self.trainer), self.trainer.staleness_bound)
        return [
            (ahead, plan)
            for ahead, plan in enumerate(self.plans[: limit + 1])
            if plan.has_waiting
        ]

    def is_stale(self, attempt: Attempt) -> bool:
        """Return whether an attempt's sample would be stale."""
        oldest = attempt.oldest_version
        return oldest is not None and not sample_module.is_fresh(
            oldest, self.newest, self.trainer.staleness_bound
        )


def _steps_ahead(trainer: Trainer) -> int:
    match trainer.policy:
        case inventory.StalenessFirst(steps_ahead=ahead):
            return ahead
        case inventory.IdleFirst(steps_ahead=ahead):
            return ahead
