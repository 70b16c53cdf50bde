"""Decide which sample is generated where, for several trainers."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.config import inventory
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import engines as engines_module
from yuccarill.core.rollouts import plan as plan_module
from yuccarill.core.rollouts import sample as sample_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import GroupNumber
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.rollouts.plan import Attempt
    from yuccarill.core.rollouts.plan import StepPlan
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.work import StepWork

DEFAULT_SLOTS = 16
# A place that fails so often without a token is given up.
MAX_FAILURES = 8
# Looked at with every event, the last samples of a large step would cost
# more than all its other decisions.
HEDGE_SECONDS = 0.5
RATE_WEIGHT = 0.02
# Below this part of the mean rate an attempt has fallen behind.
SLOW_PART = 0.5
CROWDED_SECONDS = 1.0
# An engine that was seen with old weights is tried again after this time.
KNOWN_OLD_SECONDS = 2.0


class Orders(msgspec.Struct, frozen=True):
    """Say which attempts to start, and which to cut off."""

    start: tuple[Attempt, ...]
    cancel: tuple[Attempt, ...]


class _Lane:
    """Hold one trainer's steps and the last one's virtual finish."""

    def __init__(self, trainer: Trainer) -> None:
        self.trainer = trainer
        self.newest = WeightVersion(0)
        self.plans: list[StepPlan] = []
        self.last_tag = 0.0
        # When its last samples are next looked at.
        self.hedge_due = 0.0


class Scheduler:
    """Start, resume, hedge and cut off attempts."""

    def __init__(self, slots: int = DEFAULT_SLOTS) -> None:
        self._slots = slots
        self._numbers = itertools.count(1)
        self._lanes_by_trainer: dict[TrainerId, _Lane] = {}
        self._pools_by_model: dict[ModelName, engines_module.EnginePool] = {}
        # An engine may hold another version for each trainer that it serves.
        self._versions_by_engine: dict[
            tuple[TrainerId, TargetId], tuple[WeightVersion, Instant]
        ] = {}
        self._warm_by_engine: dict[TargetId, tuple[StepPlan, GroupNumber]] = {}
        self._cancelled: list[Attempt] = []
        self._virtual_time = 0.0
        # Of attempts that ended well, for those that fall behind.
        self._mean_rate = 0.0

    def set_engines(
        self, model: ModelName, engines: Iterable[TargetId]
    ) -> None:
        """Take the engines that run a model now."""
        self._pool(model).set_engines(engines)

    def open_step(self, trainer: Trainer, work: StepWork) -> None:
        """Let the missing samples of a step be made."""
        lane = self._lanes_by_trainer.get(trainer.id)
        if lane is None:
            lane = self._lanes_by_trainer[trainer.id] = _Lane(trainer)
        lane.trainer = trainer
        lane.newest = max(lane.newest, work.request.newest_version)
        # Weighted fair queueing with a step as the packet: sharing engines
        # sample by sample would let all trainers' steps end at one time,
        # and leave engines idle while all of them train.
        begun = max(lane.last_tag, self._virtual_time)
        lane.last_tag = begun + work.request.size / trainer.share
        lane.plans.append(plan_module.StepPlan(work, lane.last_tag))
        lane.plans.sort(key=lambda plan: plan.work.step)

    def settle(self, work: StepWork) -> None:
        """Cut off what is made for a step that is whole without it."""
        plan = self.plan_of(work)
        if plan is None:
            return
        plan.clear()
        for attempts in list(plan.attempts_by_place.values()):
            for attempt in list(attempts):
                self._cancel(attempt)

    def close_step(self, work: StepWork) -> None:
        """Forget a step that its trainer has closed; others may be ahead."""
        self.settle(work)
        plan = self.plan_of(work)
        if plan is not None:
            self._lanes_by_trainer[work.trainer].plans.remove(plan)
            # What engines have cached would keep the closed step's bytes.
            self._warm_by_engine = {
                engine: warm
                for engine, warm in self._warm_by_engine.items()
                if warm[0] is not plan
            }

    def raise_newest(self, trainer: TrainerId, version: WeightVersion) -> None:
        """Take a trainer's newest version; cut off what is too old for it."""
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

    def again(self, work: StepWork, places: Iterable[Place]) -> None:
        """Let places be filled once more, from the start."""
        plan = self.plan_of(work)
        for place in places:
            if plan is not None and place not in plan.attempts_by_place:
                plan.add(place)

    def crowded(self, attempt: Attempt, now: Instant) -> None:
        """Learn that an engine lets samples queue, whoever sent them."""
        # Instances don't know of each other's samples. One that goes on
        # sending would only move its queue to the engine, where a sample
        # can't be given to an engine that gets free.
        until = Instant(now + CROWDED_SECONDS)
        self._pool_of(attempt).pause(attempt.engine, until)

    def progress(
        self,
        attempt: Attempt,
        version: WeightVersion,
        tokens: int,
        now: Instant,
    ) -> bool:
        """Take what a stream reports; tell whether it may go on."""
        attempt.made += tokens
        trainer = attempt.plan.work.trainer
        self._versions_by_engine[trainer, attempt.engine] = (version, now)
        self._pool_of(attempt).praise(attempt.engine)
        lane = self._lanes_by_trainer[trainer]
        return not self._drop_if_stale(attempt, lane)

    def generated(self, attempt: Attempt, now: Instant) -> bool:
        """Free an engine; tell whether the sample is the place's first."""
        if not self._end(attempt):
            return False
        self._pool_of(attempt).finish(attempt.engine)
        rate = attempt.rate(now)
        self._mean_rate = self._mean_rate or rate
        self._mean_rate += RATE_WEIGHT * (rate - self._mean_rate)
        plan = attempt.plan
        for twin in list(plan.attempts_by_place.get(attempt.place, ())):
            self._cancel(twin)
        is_first = attempt.place in plan.unfilled
        plan.fill(attempt.place)
        return is_first

    def failed(self, attempt: Attempt, now: Instant) -> bool:
        """Let a place wait again; tell whether it may still be filled."""
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

    def orders(self, now: Instant) -> Orders:
        """Return what to do now."""
        started: list[Attempt] = []
        for model, pool in self._pools_by_model.items():
            pool.wake(now)
            lanes = [
                lane
                for lane in self._lanes_by_trainer.values()
                if lane.trainer.model == model
            ]
            # What a trainer waits for goes before what is made ahead of it.
            for lane in lanes if pool.has_free else ():
                started.extend(self._hedges(lane, pool, now))
            started.extend(self._serve(lanes, pool, now))
        cancelled, self._cancelled = self._cancelled, []
        return Orders(tuple(started), tuple(cancelled))

    def _serve(
        self,
        lanes: list[_Lane],
        pool: engines_module.EnginePool,
        now: Instant,
    ) -> list[Attempt]:
        startable = [
            (plan.finish_tag, ahead, lane, plan)
            for lane in lanes
            if pool.has_free
            for ahead, plan in self._startable(lane)
        ]
        startable.sort(key=lambda entry: entry[0])
        started: list[Attempt] = []
        for tag, ahead, lane, plan in startable:
            size = plan.size / lane.trainer.share
            while pool.has_free and plan.has_waiting:
                attempt = self._start_waiting(lane, plan, ahead, pool, now)
                if attempt is None:
                    break
                self._virtual_time = max(self._virtual_time, tag - size)
                started.append(attempt)
        return started

    def _startable(self, lane: _Lane) -> list[tuple[int, StepPlan]]:
        limit = min(_steps_ahead(lane.trainer), lane.trainer.staleness_bound)
        return [
            (ahead, plan)
            for ahead, plan in enumerate(lane.plans[: limit + 1])
            if plan.has_waiting
        ]

    def _start_waiting(
        self,
        lane: _Lane,
        plan: StepPlan,
        ahead: int,
        pool: engines_module.EnginePool,
        now: Instant,
    ) -> Attempt | None:
        place = plan.head()
        engine = self._engine(lane, plan, place, ahead, pool, now)
        if engine is None:
            return None
        # An engine that has just made samples of a group keeps its prompt.
        warm_plan, group = self._warm_by_engine.get(engine, (None, None))
        if warm_plan is plan:
            place = plan.head(group)
        spans = plan.remove(place)
        return self._start(lane, plan, place, engine, spans, pool, now)

    def _engine(
        self,
        lane: _Lane,
        plan: StepPlan,
        place: Place,
        ahead: int,
        pool: engines_module.EnginePool,
        now: Instant,
    ) -> TargetId | None:
        running = plan.attempts_by_place.get(place, ())
        taken = {attempt.engine for attempt in running}
        trainer = lane.trainer.id
        # A step ahead is delivered so many versions later. What an engine
        # with older weights made for it would be too old by then.
        oldest = lane.newest + ahead - lane.trainer.staleness_bound

        def allows(engine: TargetId) -> bool:
            if engine in taken:
                return False
            seen = self._versions_by_engine.get((trainer, engine))
            # Only a stream tells that the engine has newer weights by now.
            return (
                seen is None
                or seen[0] >= oldest
                or seen[1] < now - KNOWN_OLD_SECONDS
            )

        return pool.choose(plan.prefix(place), allows)

    def _hedges(
        self, lane: _Lane, pool: engines_module.EnginePool, now: Instant
    ) -> list[Attempt]:
        policy = lane.trainer.policy
        started: list[Attempt] = []
        if now < lane.hedge_due:
            return started
        lane.hedge_due = now + HEDGE_SECONDS
        for plan in lane.plans[:1]:
            few = max(1, policy.hedge_part * plan.size)
            if plan.has_waiting or len(plan.unfilled) > few:
                continue
            for attempts in list(plan.attempts_by_place.values()):
                first = attempts[0]
                if len(attempts) > 1 or not self._is_behind(first, now):
                    continue
                engine = self._engine(lane, plan, first.place, 0, pool, now)
                if engine is not None:
                    started.append(
                        self._start(
                            lane,
                            plan,
                            first.place,
                            engine,
                            first.spans,
                            pool,
                            now,
                        )
                    )
        return started

    def _is_behind(self, attempt: Attempt, now: Instant) -> bool:
        lane = self._lanes_by_trainer[attempt.plan.work.trainer]
        if now - attempt.started_at < lane.trainer.policy.hedge_after:
            return False
        # A long sample on a good engine gains nothing from a second one.
        return attempt.rate(now) < SLOW_PART * self._mean_rate

    def _start(
        self,
        lane: _Lane,
        plan: StepPlan,
        place: Place,
        engine: TargetId,
        spans: tuple[sample_module.Span, ...],
        pool: engines_module.EnginePool,
        now: Instant,
    ) -> Attempt:
        pool.start(engine)
        self._warm_by_engine[engine] = (plan, place.group)
        attempt = plan_module.Attempt(
            next(self._numbers), plan, place, engine, spans, now
        )
        plan.attempts_by_place.setdefault(place, []).append(attempt)
        return attempt

    def _drop_if_stale(self, attempt: Attempt, lane: _Lane) -> bool:
        oldest = attempt.oldest_version
        bound = lane.trainer.staleness_bound
        if oldest is None or sample_module.is_fresh(
            oldest, lane.newest, bound
        ):
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

    def plan_of(self, work: StepWork) -> StepPlan | None:
        """Return which places of a step wait or run."""
        lane = self._lanes_by_trainer.get(work.trainer)
        plans = lane.plans if lane is not None else []
        return next((plan for plan in plans if plan.work is work), None)

    def _pool(self, model: ModelName) -> engines_module.EnginePool:
        pool = self._pools_by_model.get(model)
        if pool is None:
            pool = engines_module.EnginePool(self._slots)
            self._pools_by_model[model] = pool
        return pool

    def _pool_of(self, attempt: Attempt) -> engines_module.EnginePool:
        lane = self._lanes_by_trainer[attempt.plan.work.trainer]
        return self._pool(lane.trainer.model)


def _steps_ahead(trainer: Trainer) -> int:
    match trainer.policy:
        case inventory.StalenessFirst(steps_ahead=ahead):
            return ahead
        case inventory.IdleFirst(steps_ahead=ahead):
            return ahead
