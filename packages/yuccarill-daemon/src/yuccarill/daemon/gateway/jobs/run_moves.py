"""Move runs from slow or stalled engines to better ones."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engine_assignment
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue
from yuccarill.core.jobs import planning
from yuccarill.core.speeds import pace_estimator
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

log = logs.for_part('runner')


class ActiveRun:
    """Track one run of an item at an engine."""

    def __init__(
        self,
        engine: engines_module.EngineState,
        now: Instant,
        speeds: pace_estimator.PaceEstimator | None = None,
    ) -> None:
        self.engine = engine
        self.started_at = now
        self.last_at = now
        self._speeds = speeds
        self._has_event = False
        self.is_moved = False
        self.work: defer.Deferred[generation.Outcome] = defer.Deferred()

    def record_event(self, now: Instant) -> None:
        """Record the arrival of an event."""
        # The first delay includes connecting and processing the prompt.
        if self._has_event and self._speeds is not None:
            self._record_gap(self._speeds, now)
        self._has_event = True
        self.last_at = now

    def _record_gap(
        self, speeds: pace_estimator.PaceEstimator, now: Instant
    ) -> None:
        # An engine that loads new weights pauses its runs.
        if not self.engine.switching_models:
            concurrent = max(0, self.engine.running - 1)
            gap = now - self.last_at
            speeds.record_unit(self.engine.target.id, gap, concurrent, now)


class RunMoves:
    """Track the active runs of a service, and move them to better engines."""

    def __init__(
        self,
        queue: job_queue.JobQueue,
        fleet: engines_module.EngineFleet,
        plan: planning.FinishPlan | None,
        clock: Any,
    ) -> None:
        self._queue = queue
        self._fleet = fleet
        self._plan = plan
        self._clock = clock
        self.active_runs_by_item: dict[job_queue.ItemRun, ActiveRun] = {}

    @property
    def has_runs(self) -> bool:
        return bool(self.active_runs_by_item)

    def mark_urgent_models(self) -> None:
        """Mark the engines that run items without slack to their deadline."""
        now = self._now()
        pace = self._fleet.usual_pace(now) or job_queue.DEFAULT_PACE
        for engine in self._fleet.engines_by_id.values():
            engine.urgent_models.clear()
        for run, active_run in self.active_runs_by_item.items():
            model = run.job.model
            if model is not None and self._queue.is_urgent(run, pace, now):
                active_run.engine.urgent_models.add(model)

    def move_runs(self) -> None:
        """Cancel the runs that are better off at another engine."""
        now = self._now()
        # Free slots go to waiting items first, and a run moves only into a
        # remaining slot; otherwise runs move back and forth.
        waiting = self._queue.count_waiting()
        assigner = engine_assignment.EngineAssigner(self._fleet, now)
        for run, active_run in list(self.active_runs_by_item.items()):
            engine = active_run.engine
            reason = self._move_reason(run, active_run, assigner, now)
            if reason is None:
                continue
            if assigner.free_slots(run.job, engine) <= waiting:
                continue
            waiting += 1
            assigner.reserve_slot(run.job)
            self._log_move(run, active_run, reason, now)
            if self._fleet.is_silent(active_run.last_at, now):
                # Keeps the next item from waiting at the silent engine.
                engine.fail(now)
                assigner.exclude_engine(engine)
            active_run.is_moved = True
            active_run.work.cancel()

    def _move_reason(
        self,
        run: job_queue.ItemRun,
        active_run: ActiveRun,
        assigner: engine_assignment.EngineAssigner,
        now: Instant,
    ) -> str | None:
        """Return why a run has to move, or None if it stays."""
        engine = active_run.engine
        if self._plan is None:
            is_held_up = self._fleet.should_move(
                engine,
                run.job,
                active_run.started_at,
                active_run.last_at,
                now,
            )
            return 'held up' if is_held_up else None
        if self._fleet.is_stalled(engine, run.job, active_run.last_at, now):
            return 'stopped'
        if now - active_run.started_at < engines_module.MIN_STAY_SECONDS:
            return None
        if self._plan.is_better_off(run, engine, assigner, now):
            return 'ends sooner elsewhere'
        return None

    def _log_move(
        self,
        run: job_queue.ItemRun,
        active_run: ActiveRun,
        reason: str,
        now: Instant,
    ) -> None:
        meters.RUN_MOVES.labels(reason).inc()
        engine = active_run.engine
        concurrent = max(0, engine.running - 1)
        estimate = self._fleet.estimate(engine, concurrent, now)
        log.info(
            'Run moved.',
            item=run.item.id,
            engine=engine.target.id,
            reason=reason,
            pace=engine.pace,
            estimate=round(estimate.pace, 4),
            deviation=round(estimate.deviation, 3),
            usual=self._fleet.usual_pace(now),
            silent=round(now - active_run.last_at, 3),
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
