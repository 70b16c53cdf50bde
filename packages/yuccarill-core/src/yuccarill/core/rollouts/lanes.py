"""One trainer's steps, in the order in which they are served."""

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
    """Hold one trainer's steps and the last one's virtual finish."""

    def __init__(self, trainer: Trainer) -> None:
        self.trainer = trainer
        self.newest = WeightVersion(0)
        self.plans: list[StepPlan] = []
        self._last_tag = 0.0
        # When its last samples are next looked at.
        self.hedge_due = 0.0

    def open_step(
        self, trainer: Trainer, work: StepWork, virtual_time: float
    ) -> None:
        """Queue a step behind those of the trainer that came before."""
        self.trainer = trainer
        self.newest = max(self.newest, work.request.newest_version)
        # Weighted fair queueing with a step as the packet: sharing engines
        # sample by sample would let all trainers' steps end at one time,
        # and leave engines idle while all of them train.
        begun = max(self._last_tag, virtual_time)
        self._last_tag = begun + work.request.size / trainer.share
        self.plans.append(plan_module.StepPlan(work, self._last_tag))
        self.plans.sort(key=lambda plan: plan.work.step)

    def plan_of(self, work: StepWork) -> StepPlan | None:
        """Return which places of a step wait or run."""
        return next((plan for plan in self.plans if plan.work is work), None)

    def startable(self) -> list[tuple[int, StepPlan]]:
        """Return the steps with waiting places and how far ahead each is."""
        limit = min(_steps_ahead(self.trainer), self.trainer.staleness_bound)
        return [
            (ahead, plan)
            for ahead, plan in enumerate(self.plans[: limit + 1])
            if plan.has_waiting
        ]

    def is_stale(self, attempt: Attempt) -> bool:
        """Tell whether an attempt could only become a stale sample."""
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
