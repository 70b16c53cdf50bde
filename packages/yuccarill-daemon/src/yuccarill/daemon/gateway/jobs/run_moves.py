"""Move runs off engines that hold them up."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engine_assignment as placing_module
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as board_module
from yuccarill.core.jobs import planning
from yuccarill.core.speeds import pace_estimator
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

log = logs.for_part('runner')


class Generating:
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

    def progress(self, now: Instant) -> None:
        """Note that an event came."""
        # The first comes after a connection and the reading of the text.
        if self._has_event and self._speeds is not None:
            self._learn(self._speeds, now)
        self._has_event = True
        self.last_at = now

    def _learn(
        self, speeds: pace_estimator.PaceEstimator, now: Instant
    ) -> None:
        # An engine that takes new weights stands still for a while.
        if not self.engine.switching_models:
            beside = max(0, self.engine.running - 1)
            gap = now - self.last_at
            speeds.record_unit(self.engine.target.id, gap, beside, now)


class RunMoves:
    """Look after the runs of a service that are under way."""

    def __init__(
        self,
        board: board_module.JobQueue,
        fleet: engines_module.EngineFleet,
        plan: planning.FinishPlan | None,
        clock: Any,
    ) -> None:
        self._board = board
        self._fleet = fleet
        self._plan = plan
        self._clock = clock
        self.generating_by_run: dict[board_module.ItemRun, Generating] = {}

    def note_hurry(self) -> None:
        """Mark the engines whose texts have no time to spare."""
        now = self._now()
        pace = self._fleet.usual_pace(now) or board_module.DEFAULT_PACE
        for engine in self._fleet.engines_by_id.values():
            engine.urgent_models.clear()
        for run, generating in self.generating_by_run.items():
            model = run.job.model
            if model is not None and self._board.is_urgent(run, pace, now):
                generating.engine.urgent_models.add(model)

    def move(self) -> None:
        """Move runs off engines that hold them up."""
        now = self._now()
        # Free places go to waiting items first. Moving all runs of a slow
        # engine for each place that came free moved 85 runs in a second,
        # most of them back to where they were.
        waiting = self._board.count_waiting()
        placing = placing_module.EngineAssigner(self._fleet, now)
        for run, generating in list(self.generating_by_run.items()):
            engine = generating.engine
            reason = self._reason(run, generating, placing, now)
            if reason is None:
                continue
            if placing.free_slots(run.job, engine) <= waiting:
                continue
            waiting += 1
            placing.reserve_slot(run.job)
            self._log_move(run, generating, reason, now)
            if self._fleet.is_silent(generating.last_at, now):
                # Otherwise the next item would wait there as long.
                engine.fail(now)
                placing.exclude_engine(engine)
            generating.is_moved = True
            generating.work.cancel()

    def _reason(
        self,
        run: board_module.ItemRun,
        generating: Generating,
        placing: placing_module.EngineAssigner,
        now: Instant,
    ) -> str | None:
        """Return why a run is better off elsewhere, none if it is not."""
        engine = generating.engine
        if self._plan is None:
            is_held_up = self._fleet.should_move(
                engine,
                run.job,
                generating.started_at,
                generating.last_at,
                now,
            )
            return 'held up' if is_held_up else None
        if self._fleet.is_stalled(engine, run.job, generating.last_at, now):
            return 'stopped'
        if now - generating.started_at < engines_module.MIN_STAY_SECONDS:
            return None
        if self._plan.is_better_off(run, engine, placing, now):
            return 'ends sooner elsewhere'
        return None

    def _log_move(
        self,
        run: board_module.ItemRun,
        generating: Generating,
        reason: str,
        now: Instant,
    ) -> None:
        meters.RUN_MOVES.labels(reason).inc()
        engine = generating.engine
        beside = max(0, engine.running - 1)
        estimate = self._fleet.estimate(engine, beside, now)
        log.info(
            'Run moved.',
            item=run.item.id,
            engine=engine.target.id,
            reason=reason,
            pace=engine.pace,
            estimate=round(estimate.pace, 4),
            deviation=round(estimate.deviation, 3),
            usual=self._fleet.usual_pace(now),
            silent=round(now - generating.last_at, 3),
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
