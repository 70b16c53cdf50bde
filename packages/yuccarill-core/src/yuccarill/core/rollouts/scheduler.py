"""Schedule the samples of several trainers on engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.rollouts import engine_history
from yuccarill.core.rollouts import engines as engines_module
from yuccarill.core.rollouts import placement
from yuccarill.core.rollouts import step_queue as lanes_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.plan import Attempt
    from yuccarill.core.rollouts.plan import StepPlan
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.work import StepWork

DEFAULT_SLOTS = 16
# Consecutive failures without any token after which a place has failed.
MAX_FAILURES = 8
RATE_WEIGHT = 0.02
QUEUEING_PAUSE_SECONDS = 1.0


class Orders(msgspec.Struct, frozen=True):
    """Hold the attempts to start and to cancel."""

    start: tuple[Attempt, ...]
    cancel: tuple[Attempt, ...]


class Scheduler:
    """Start, resume, hedge and cancel attempts."""

    def __init__(self, slots: int = DEFAULT_SLOTS) -> None:
        self._slots = slots
        self._lanes_by_trainer: dict[TrainerId, lanes_module.Lane] = {}
        self._pools_by_model: dict[ModelName, engines_module.EnginePool] = {}
        self._history = engine_history.EngineHistory()
        self._placement = placement.Placement(self._history)
        self._cancelled: list[Attempt] = []
        # Moving average tokens per second of successful attempts, for hedging.
        self._mean_rate = 0.0

    def plan_of(self, work: StepWork) -> StepPlan | None:
        """Return the plan of a step, None if the step is not open."""
        lane = self._lanes_by_trainer.get(work.trainer)
        return lane.plan_of(work) if lane is not None else None

    def set_engines(
        self, model: ModelName, engines: Iterable[TargetId]
    ) -> None:
        """Replace the engines that run a model."""
        self._pool(model).set_engines(engines)

    def open_step(self, trainer: Trainer, work: StepWork) -> None:
        """Queue the missing samples of a step."""
        lane = self._lanes_by_trainer.get(trainer.id)
        if lane is None:
            lane = lanes_module.Lane(trainer)
            self._lanes_by_trainer[trainer.id] = lane
        lane.open_step(trainer, work, self._placement.virtual_time)

    def cancel_step(self, work: StepWork) -> None:
        """Cancel the remaining attempts of a complete step."""
        plan = self.plan_of(work)
        if plan is None:
            return
        plan.clear()
        for attempts in list(plan.attempts_by_place.values()):
            for attempt in list(attempts):
                self._cancel(attempt)

    def close_step(self, work: StepWork) -> None:
        """Remove a closed step; steps may close in any order."""
        self.cancel_step(work)
        plan = self.plan_of(work)
        if plan is not None:
            self._lanes_by_trainer[work.trainer].plans.remove(plan)
            self._history.forget(plan)

    def raise_newest(self, trainer: TrainerId, version: WeightVersion) -> None:
        """Raise a trainer's newest version; cancel stale attempts."""
        lane = self._lanes_by_trainer.get(trainer)
        if lane is None or version <= lane.newest:
            return
        lane.newest = version
        bound = lane.trainer.staleness_bound
        for plan in lane.plans:
            plan.drop_stale_spans(version, bound)
            for attempts in list(plan.attempts_by_place.values()):
                for attempt in list(attempts):
                    self._drop_if_stale(attempt, lane)

    def requeue_places(self, work: StepWork, places: Iterable[Place]) -> None:
        """Queue places again, without earlier tokens."""
        plan = self.plan_of(work)
        for place in places:
            if plan is not None and place not in plan.attempts_by_place:
                plan.add(place)

    def pause_engine(self, attempt: Attempt, now: Instant) -> None:
        """Pause an engine that queues samples of any instance."""
        # Instances don't know each other's samples. Sending more would only
        # move samples from the local queue to the queue of the engine, where
        # they can't go to another engine that becomes free.
        until = Instant(now + QUEUEING_PAUSE_SECONDS)
        self._pool_of(attempt).pause(attempt.engine, until)

    def record_progress(
        self,
        attempt: Attempt,
        version: WeightVersion,
        tokens: int,
        now: Instant,
    ) -> bool:
        """Record a stream's progress; return whether it may continue."""
        attempt.made += tokens
        trainer = attempt.plan.work.trainer
        self._history.record_version(trainer, attempt.engine, version, now)
        self._pool_of(attempt).reset_failures(attempt.engine)
        lane = self._lanes_by_trainer[trainer]
        return not self._drop_if_stale(attempt, lane)

    def finish_attempt(self, attempt: Attempt, now: Instant) -> bool:
        """Release the slot; return whether the sample is its place's first."""
        if not self._end(attempt):
            return False
        self._pool_of(attempt).finish(attempt.engine)
        rate = attempt.rate(now)
        self._mean_rate = self._mean_rate or rate
        self._mean_rate += RATE_WEIGHT * (rate - self._mean_rate)
        plan = attempt.plan
        for other in list(plan.attempts_by_place.get(attempt.place, ())):
            self._cancel(other)
        is_first = attempt.place in plan.unfilled
        plan.fill(attempt.place)
        return is_first

    def fail_attempt(self, attempt: Attempt, now: Instant) -> bool:
        """Queue a place again; return False if it is out of attempts."""
        if not self._end(attempt):
            return True
        plan = attempt.plan
        self._pool_of(attempt).fail(attempt.engine, now)
        if attempt.place in plan.attempts_by_place:
            return True
        plan.add(attempt.place, attempt.spans)
        plan.failures_by_place[attempt.place] += 1
        if attempt.spans:
            plan.failures_by_place[attempt.place] = 0
        return plan.failures_by_place[attempt.place] < MAX_FAILURES

    def next_orders(self, now: Instant) -> Orders:
        """Return the attempts to start and to cancel now."""
        started: list[Attempt] = []
        for model, pool in self._pools_by_model.items():
            pool.end_pauses(now)
            lanes = [
                lane
                for lane in self._lanes_by_trainer.values()
                if lane.trainer.model == model
            ]
            # Hedges go first, since a trainer waits for their step.
            for lane in lanes if pool.has_free else ():
                hedges = self._placement.hedge(
                    lane, pool, self._mean_rate, now
                )
                started.extend(hedges)
            started.extend(self._placement.serve(lanes, pool, now))
        cancelled, self._cancelled = self._cancelled, []
        return Orders(tuple(started), tuple(cancelled))

    def _drop_if_stale(
        self, attempt: Attempt, lane: lanes_module.Lane
    ) -> bool:
        if not lane.is_stale(attempt):
            return False
        self._cancel(attempt)
        if attempt.place not in attempt.plan.attempts_by_place:
            attempt.plan.add(attempt.place)
        return True

    def _cancel(self, attempt: Attempt) -> None:
        if self._end(attempt):
            self._pool_of(attempt).finish(attempt.engine)
            self._cancelled.append(attempt)

    def _end(self, attempt: Attempt) -> bool:
        attempts = attempt.plan.attempts_by_place.get(attempt.place, [])
        if attempt not in attempts:
            return False
        attempts.remove(attempt)
        if not attempts:
            del attempt.plan.attempts_by_place[attempt.place]
        return True

    def _pool(self, model: ModelName) -> engines_module.EnginePool:
        pool = self._pools_by_model.get(model)
        if pool is None:
            pool = engines_module.EnginePool(self._slots)
            self._pools_by_model[model] = pool
        return pool

    def _pool_of(self, attempt: Attempt) -> engines_module.EnginePool:
        lane = self._lanes_by_trainer[attempt.plan.work.trainer]
        return self._pool(lane.trainer.model)
