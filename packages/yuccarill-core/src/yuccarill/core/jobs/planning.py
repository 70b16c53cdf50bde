"""Order waiting items by which groups can meet their deadline."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import job_plan
from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.core.jobs import triage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.engine_assignment import EngineAssigner
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job import JobId
    from yuccarill.core.jobs.job_queue import ItemRun
    from yuccarill.core.jobs.job_queue import JobQueue

# Seconds for which a plan is valid while no job is added or removed.
PLAN_SECONDS = 0.25
# Seconds that a move takes: a new connection, the prefill of the text, and the
# wait for the engine's next step.
MOVE_SECONDS = 0.15
# Seconds of slack below which a text may move off an engine that is not slow.
MAX_MOVE_SLACK_SECONDS = 3.0
# Standard errors that are subtracted from the expected gain of a move.
GAIN_STANDARD_ERRORS = 1.0


class FinishPlan:
    """Plan the items of all open jobs of one service."""

    def __init__(self, queue: JobQueue, fleet: EngineFleet) -> None:
        self._queue = queue
        self._fleet = fleet
        self._plans_by_job: dict[JobId, job_plan.JobPlan] = {}
        self._planned_at = Instant(-math.inf)
        # Whether the engines can't complete all groups in time.
        self.is_short = False

    @property
    def deferred_groups(self) -> int:
        """Return the number of deferred groups."""
        return sum(plan.deferred_count for plan in self._plans_by_job.values())

    def is_feasible(self, run: ItemRun) -> bool:
        """Return whether the run's group can be complete in time."""
        plan = self._plans_by_job.get(run.job.id)
        return plan is not None and run.item.group in plan.fitting_groups

    def slack(self, run: ItemRun, pace: float, now: Instant) -> float:
        """Return the slack: seconds from the expected end to the deadline."""
        events = self._queue.lengths.expected(
            run.job.model, run.item, run.text.events
        )
        state = self._queue.jobs_by_id[run.job.id]
        return state.due_at - now - pace * events

    def waiting(self, pace: float, now: Instant) -> Iterator[ItemRun]:
        """Return the items to run, those of fitting groups first.

        The iterator is lazy: only the items that are taken are ordered.
        """
        self._update_plans(now)
        return self._ordered(pace)

    def _ordered(self, pace: float) -> Iterator[ItemRun]:
        plans = list(self._plans_by_job.values())
        # Trainers below their fair share go before those above it.
        for is_below_share in (True, False):
            chosen = [p for p in plans if p.is_below_share is is_below_share]
            yield from _merged([p.fitting_runs(pace) for p in chosen])
        yield from _merged([p.deferred_runs() for p in plans])

    def _update_plans(self, now: Instant) -> None:
        jobs = self._queue.jobs_by_id
        for removed in self._plans_by_job.keys() - jobs.keys():
            del self._plans_by_job[removed]
            self._planned_at = Instant(-math.inf)
        for name, state in jobs.items():
            current = self._plans_by_job.get(name)
            if current is None or current.state is not state:
                plan = job_plan.JobPlan(state, self._queue.lengths)
                self._plans_by_job[name] = plan
                self._planned_at = Instant(-math.inf)
        if now >= self._planned_at + PLAN_SECONDS:
            self._planned_at = now
            self._plan(now)

    def _plan(self, now: Instant) -> None:
        plans = self._plans_by_job.values()
        for plan in plans:
            plan.update()
        steps = [plan.step_need() for plan in plans]
        supply = self._supply(now)
        self.is_short = self._are_lengths_known() and triage.is_short(
            steps, supply, now
        )
        if self.is_short:
            choice = triage.choose_fitting(steps, supply, now)
        else:
            choice = triage.choose_all(steps)
        for plan in plans:
            name = plan.state.job.id
            plan.set_fitting_groups(choice.groups_by_job[name])
            plan.is_below_share = name in choice.modest_jobs

    def _are_lengths_known(self) -> bool:
        # Without samples, the number of events per hinted token is unknown.
        return all(
            self._queue.lengths.has_samples(plan.state.job.items[0])
            for plan in self._plans_by_job.values()
            if plan.state.job.items
        )

    def _supply(self, now: Instant) -> triage.Supply:
        """Return the throughput of the engines that can run an open job."""
        needs = {
            (plan.state.job.model, plan.state.job.min_version)
            for plan in self._plans_by_job.values()
        }
        rate = 0.0
        for engine in self._fleet.engines_by_id.values():
            if _serves(engine, needs, now):
                pace = self._fleet.full_pace(engine, now)
                rate += engine.target.slots / pace
        pace = self._fleet.usual_pace(now) or queue_module.DEFAULT_PACE
        return triage.Supply(rate=rate, pace=pace)

    def is_better_off(
        self,
        run: ItemRun,
        engine: EngineState,
        assigner: EngineAssigner,
        now: Instant,
    ) -> bool:
        """Return whether a run ends sooner on the best free engine.

        A run with enough slack stays, unless its engine is slow.
        """
        pace = self._fleet.estimate(engine, engine.running - 1, now).pace
        is_slow = self._fleet.is_slow(engine, now)
        if (
            not is_slow
            and self.slack(run, pace, now) >= MAX_MOVE_SLACK_SECONDS
        ):
            return False
        other = assigner.choose(run.job)
        if other is None or other is engine:
            return False
        return self.gain(run, engine, other, now) > 0.0

    def gain(
        self,
        run: ItemRun,
        engine: EngineState,
        other: EngineState,
        now: Instant,
    ) -> float:
        """Return the seconds that a move gains, less the standard error."""
        events = self._queue.lengths.expected(
            run.job.model, run.item, run.text.events
        )
        here = self._fleet.estimate(engine, engine.running - 1, now)
        there = self._fleet.estimate(other, other.running, now)
        error = math.hypot(
            here.pace * here.deviation, there.pace * there.deviation
        )
        pace_gain = here.pace - there.pace - GAIN_STANDARD_ERRORS * error
        return events * pace_gain - MOVE_SECONDS


def _merged(orders: Iterable[Iterator[job_plan.Ranked]]) -> Iterator[ItemRun]:
    return (entry[2] for entry in heapq.merge(*orders, key=job_plan.sort_key))


def _serves(
    engine: EngineState,
    needs: Iterable[tuple[ModelName | None, WeightVersion]],
    now: Instant,
) -> bool:
    if engine.target.is_leaving or now < engine.ejected_until:
        return False
    for model, min_version in needs:
        if model is None:
            return True
        version = engine.version(model)
        if version is not None and version >= min_version:
            return True
    return False
