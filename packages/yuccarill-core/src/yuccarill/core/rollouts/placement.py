"""Assign waiting places to free engines."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.rollouts import plan as plan_module

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.core.ids import TargetId
    from yuccarill.core.rollouts.engine_history import EngineHistory
    from yuccarill.core.rollouts.engines import EnginePool
    from yuccarill.core.rollouts.plan import Attempt
    from yuccarill.core.rollouts.plan import StepPlan
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.sample import Span
    from yuccarill.core.rollouts.step_queue import Lane

# Interval of the check for hedged attempts, which is too expensive to run with
# every event of a large step.
HEDGE_INTERVAL_SECONDS = 0.5
# Fraction of the mean rate below which an attempt is slow.
SLOW_FRACTION = 0.5


class _Candidate(msgspec.Struct, frozen=True):
    """Hold a step that may start places."""

    lane: Lane
    plan: StepPlan
    # Number of the trainer's open steps before this one.
    ahead: int


class Placement:
    """Start first, resumed and hedged attempts."""

    def __init__(self, history: EngineHistory) -> None:
        self._history = history
        self._numbers = itertools.count(1)
        self.virtual_time = 0.0

    def serve(
        self, lanes: list[Lane], pool: EnginePool, now: Instant
    ) -> list[Attempt]:
        """Start waiting places, steps in the order of virtual finish time."""
        candidates = [
            _Candidate(lane, plan, ahead)
            for lane in lanes
            if pool.has_free
            for ahead, plan in lane.startable_plans()
        ]
        candidates.sort(key=lambda candidate: candidate.plan.finish_tag)
        started: list[Attempt] = []
        for candidate in candidates:
            plan = candidate.plan
            size = plan.size / candidate.lane.trainer.share
            while pool.has_free and plan.has_waiting:
                attempt = self._start_waiting(candidate, pool, now)
                if attempt is None:
                    break
                start_tag = plan.finish_tag - size
                self.virtual_time = max(self.virtual_time, start_tag)
                started.append(attempt)
        return started

    def hedge(
        self, lane: Lane, pool: EnginePool, mean_rate: float, now: Instant
    ) -> list[Attempt]:
        """Start second attempts at the last, slow samples of a step."""
        if now < lane.hedge_due:
            return []
        lane.hedge_due = now + HEDGE_INTERVAL_SECONDS
        if not lane.plans:
            return []
        candidate = _Candidate(lane, lane.plans[0], ahead=0)
        started: list[Attempt] = []
        for first in _unhedged_stragglers(candidate, mean_rate, now):
            engine = self._engine(candidate, first.place, pool, now)
            if engine is not None:
                second = self._start(
                    first.plan, first.place, engine, first.spans, pool, now
                )
                started.append(second)
        return started

    def _start_waiting(
        self, candidate: _Candidate, pool: EnginePool, now: Instant
    ) -> Attempt | None:
        plan = candidate.plan
        place = plan.next_place()
        engine = self._engine(candidate, place, pool, now)
        if engine is None:
            return None
        # Prefer the group whose prompt the engine has cached.
        cached_group = self._history.cached_group(engine, plan)
        if cached_group is not None:
            place = plan.next_place(cached_group)
        spans = plan.remove(place)
        return self._start(plan, place, engine, spans, pool, now)

    def _engine(
        self,
        candidate: _Candidate,
        place: Place,
        pool: EnginePool,
        now: Instant,
    ) -> TargetId | None:
        lane, plan = candidate.lane, candidate.plan
        running = plan.attempts_by_place.get(place, ())
        taken = {attempt.engine for attempt in running}
        trainer = lane.trainer
        # A step n ahead is delivered n versions later, so its samples need
        # weights that are n versions newer.
        oldest = lane.newest + candidate.ahead - trainer.staleness_bound

        def allows(engine: TargetId) -> bool:
            return engine not in taken and self._history.may_have_version(
                trainer.id, engine, oldest, now
            )

        return pool.choose(plan.prefix(place), allows)

    def _start(
        self,
        plan: StepPlan,
        place: Place,
        engine: TargetId,
        spans: tuple[Span, ...],
        pool: EnginePool,
        now: Instant,
    ) -> Attempt:
        pool.start(engine)
        self._history.record_start(engine, plan, place)
        attempt = plan_module.Attempt(
            next(self._numbers), plan, place, engine, spans, now
        )
        plan.attempts_by_place.setdefault(place, []).append(attempt)
        return attempt


def _unhedged_stragglers(
    candidate: _Candidate, mean_rate: float, now: Instant
) -> Iterator[Attempt]:
    plan = candidate.plan
    policy = candidate.lane.trainer.policy
    max_unfilled = max(1, policy.hedge_part * plan.size)
    if plan.has_waiting or len(plan.unfilled) > max_unfilled:
        return
    for attempts in list(plan.attempts_by_place.values()):
        first = attempts[0]
        if len(attempts) > 1 or now - first.started_at < policy.hedge_after:
            continue
        # A long sample on a fast engine gains nothing from a hedge.
        if first.rate(now) < SLOW_FRACTION * mean_rate:
            yield first
