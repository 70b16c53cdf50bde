"""Move runs off engines that hold them up."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import placing as placing_module
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon import logs

log = logs.for_part('runner')


class Generating:
    """Track one run of an item at an engine."""

    def __init__(
        self, engine: engines_module.EngineState, now: Instant
    ) -> None:
        self.engine = engine
        self.started_at = now
        self.last_at = now
        self.is_moved = False
        self.work: defer.Deferred[generation.Outcome] = defer.Deferred()

    def progress(self, now: Instant) -> None:
        """Note that an event came."""
        self.last_at = now


class RunMoves:
    """Look after the runs of a service that are under way."""

    def __init__(
        self,
        board: board_module.JobBoard,
        fleet: engines_module.EngineFleet,
        clock: Any,
    ) -> None:
        self._board = board
        self._fleet = fleet
        self._clock = clock
        self.generating_by_run: dict[board_module.ItemRun, Generating] = {}

    def note_hurry(self) -> None:
        """Mark the engines whose texts have no time to spare."""
        now = self._now()
        pace = self._fleet.usual_pace(now) or board_module.DEFAULT_PACE
        for engine in self._fleet.engines_by_id.values():
            engine.hurried.clear()
        for run, generating in self.generating_by_run.items():
            model = run.job.model
            if model is not None and self._board.is_hurried(run, pace, now):
                generating.engine.hurried.add(model)

    def move(self) -> None:
        """Move runs off engines that hold them up."""
        now = self._now()
        # Free places go to waiting items first. Moving all runs of a slow
        # engine for each place that came free moved 85 runs in a second,
        # most of them back to where they were.
        waiting = self._board.count_waiting()
        placing = placing_module.Placing(self._fleet, now)
        for run, generating in list(self.generating_by_run.items()):
            engine = generating.engine
            if not self._fleet.is_held_up(
                engine,
                run.job,
                generating.started_at,
                generating.last_at,
                now,
            ):
                continue
            if placing.free_places(run.job, engine) <= waiting:
                continue
            waiting += 1
            placing.moved(run.job)
            log.info(
                'Run moved.',
                item=run.item.id,
                engine=generating.engine.target.id,
                pace=generating.engine.pace,
                usual=self._fleet.usual_pace(now),
                silent=round(now - generating.last_at, 3),
            )
            if self._fleet.is_silent(generating.last_at, now):
                # Otherwise the next item would wait there as long.
                generating.engine.fail(now)
                placing.leave_out(generating.engine)
            generating.is_moved = True
            generating.work.cancel()

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
