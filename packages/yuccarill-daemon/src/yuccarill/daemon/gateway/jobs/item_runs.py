"""Run items at engines."""

from __future__ import annotations

import enum
import math
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway import partitions
from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engine_assignment as placing_module
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as board_module
from yuccarill.core.jobs.placement import Placement
from yuccarill.core.jobs import planning
from yuccarill.core.speeds import pace_estimator
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.jobs import item_holds
from yuccarill.daemon.gateway.jobs import run_moves
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.jobs.generation import Generator
    from yuccarill.daemon.gateway.jobs.scoring import Scorer
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('runner')

# Part of the loop's time that goes to putting waiting items in order: places
# that come free wait for 60 ms with 3,000 items, and not at all with 300.
PUMP_PART = 0.2
# Seconds of a pause that is not worth a timer.
MIN_PUMP_PAUSE = 0.005


class ResultDesk(Protocol):
    """Take results, and the work that leads to them."""

    def finish(
        self, run: board_module.ItemRun, result: ItemResult, cause: str
    ) -> None:
        """List an item's result."""
        ...

    def track(
        self, job: JobId, work: Coroutine[Any, Any, None]
    ) -> defer.Deferred[None]:
        """Start work that ends with its job."""
        ...


def speed_book(placement: Placement) -> pace_estimator.PaceEstimator | None:
    """Return what learns engines' lasting paces, where that is asked."""
    return (
        pace_estimator.PaceEstimator()
        if placement is Placement.FINISH
        else None
    )


class Permission(enum.Enum):
    """Say whether the configuration allows an item here."""

    GRANTED = 'granted'
    # No route leads to it any more.
    REVOKED = 'revoked'
    # Its route leads to another service.
    ELSEWHERE = 'elsewhere'


class ItemRuns:
    """Run the items that a board has waiting."""

    def __init__(
        self,
        service: ServiceName,
        state: GatewayState,
        board: board_module.JobQueue,
        fleet: engines_module.EngineFleet,
        generator: Generator,
        guard: ContentGuard,
        scorer: Scorer,
        desk: ResultDesk,
        clock: Any,
    ) -> None:
        self._service = service
        self._state = state
        self._board = board
        self._fleet = fleet
        self._generator = generator
        self._scorer = scorer
        self._desk = desk
        self._clock = clock
        self._holds = item_holds.ItemHolds(service, board, guard)
        self._plan: planning.FinishPlan | None = None
        if fleet.speeds is not None:
            self._plan = planning.FinishPlan(board, fleet)
        # Moves the runs off engines that hold them up.
        self.moves = run_moves.RunMoves(board, fleet, self._plan, clock)
        self._is_stopped = False
        self._is_pumping = False
        self._is_asked = False
        # The next pump, and how long the last one took.
        self._next_pump: Any = None
        self._pumped_at = -math.inf
        self._pump_seconds = 0.0

    def stop(self) -> None:
        """Start nothing more."""
        self._is_stopped = True
        if self._next_pump is not None and self._next_pump.active():
            self._next_pump.cancel()

    def _pump_soon(self) -> None:
        """Start items for a place that came free, together with others.

        Each pump puts all waiting items in order. With thousands of them,
        one for each run that ends took the whole loop; so pumps have a part
        of the time at most, and a place waits for as long as that takes.
        """
        if self._next_pump is not None and self._next_pump.active():
            return
        pause = self._pump_seconds / PUMP_PART
        left = self._pumped_at + pause - self._clock.seconds()
        if left <= MIN_PUMP_PAUSE:
            self.pump()
        else:
            self._next_pump = self._clock.callLater(left, self.pump)

    def pump(self) -> None:
        """Start the items that have a place now."""
        if self._is_stopped or self._is_pumping:
            # A run that ends while others are started asks for a pump too.
            self._is_asked = True
            return
        self._is_pumping = True
        began_at = self._clock.seconds()
        try:
            self._is_asked = True
            while self._is_asked:
                self._is_asked = False
                self._pump()
        finally:
            self._is_pumping = False
            self._pumped_at = self._clock.seconds()
            self._pump_seconds = self._pumped_at - began_at

    def _pump(self) -> None:
        now = self._now()
        # Putting 8,192 waiting items in order takes 47 ms, and each run that
        # ends asks for it.
        if not self._fleet.has_free_slots(now):
            return
        # Items of one model and age of weights find the same engines.
        full: set[tuple[ModelName | None, WeightVersion]] = set()
        all_needs = {
            (state.job.model, state.job.min_version)
            for state in self._board.jobs_by_id.values()
        }
        pace = self._fleet.usual_pace(now) or board_module.DEFAULT_PACE
        placing = placing_module.EngineAssigner(self._fleet, now)
        self._holds.resume()
        for run in self._waiting(pace, now):
            if len(full) == len(all_needs):
                break
            needs = (run.job.model, run.job.min_version)
            if needs in full or self._holds.is_held_back(run):
                continue
            match self._permission(run):
                case Permission.GRANTED:
                    engine = self._holds.choose(run, placing)
                    if engine is not None:
                        self._start(run, engine)
                    elif not self._holds.is_suspect(run):
                        full.add(needs)
                case Permission.REVOKED:
                    self._desk.finish(
                        run, run.failed_result(), 'its route is gone'
                    )
                case Permission.ELSEWHERE:
                    continue

    def _waiting(
        self, pace: float, now: Instant
    ) -> Iterable[board_module.ItemRun]:
        if self._plan is None:
            return self._board.waiting(pace)
        was_short = self._plan.is_short
        found = self._plan.waiting(pace, now)
        put_off = self._plan.deferred_groups
        meters.GROUPS_PUT_OFF.labels(self._service).set(put_off)
        if self._plan.is_short is not was_short:
            event = 'Engines suffice.' if was_short else 'Engines fall short.'
            log.info(event, service=self._service, put_off=put_off)
        return found

    def _permission(self, run: board_module.ItemRun) -> Permission:
        # Items are bound by the configuration in force as requests are: an
        # item must not reach a service that its route no longer names.
        table = self._state.table
        path = run.item.path.partition('?')[0]
        route = table.find(run.job.host, path) if table else None
        if route is None:
            return Permission.REVOKED
        if partitions.service_of_part(self._service) in route.services:
            return Permission.GRANTED
        return Permission.ELSEWHERE

    def _start(
        self, run: board_module.ItemRun, engine: engines_module.EngineState
    ) -> None:
        run.state = board_module.RunState.RUNNING
        self._board.jobs_by_id[run.job.id].begin(run)
        engine.runs_by_model[run.job.model] += 1
        if self._plan is not None:
            self._log_start(self._plan, run, engine)
        work = self._desk.track(run.job.id, self._run(run, engine))
        work.addBoth(lambda _: self._pump_soon())

    def _log_start(
        self,
        plan: planning.FinishPlan,
        run: board_module.ItemRun,
        engine: engines_module.EngineState,
    ) -> None:
        now = self._now()
        beside = engine.running - 1
        estimate = self._fleet.estimate(engine, beside, now)
        log.info(
            'Run placed.',
            item=run.item.id,
            engine=engine.target.id,
            beside=beside,
            estimate=round(estimate.pace, 4),
            deviation=round(estimate.deviation, 3),
            spare=round(plan.slack(run, estimate.pace, now), 2),
            fits=plan.is_feasible(run),
        )

    async def _run(
        self,
        run: board_module.ItemRun,
        engine: engines_module.EngineState,
    ) -> None:
        generating = run_moves.Generating(
            engine, self._now(), self._fleet.speeds
        )
        generating.work = defer.Deferred.fromCoroutine(
            self._generator.run(run, engine, generating.progress)
        )
        self.moves.generating_by_run[run] = generating
        try:
            outcome = await generating.work
        except defer.CancelledError:
            if not generating.is_moved:
                raise
            outcome = generation.Outcome.BROKEN
        finally:
            del self.moves.generating_by_run[run]
            engine.runs_by_model[run.job.model] -= 1
            generating.work.cancel()
        match outcome:
            case generation.Outcome.WHOLE:
                run.text.is_whole = True
                self._board.lengths.learn(
                    run.job.model, run.item, run.text.events
                )
                await self.score(run)
            case generation.Outcome.FAILED:
                self._failed(run, run.fail())
            case generation.Outcome.IMPOSSIBLE:
                self._desk.finish(run, run.failed_result(), 'impossible')
            case generation.Outcome.BROKEN:
                run.state = board_module.RunState.WAITING
                self._holds.note_broken(run)

    async def score(self, run: board_module.ItemRun) -> None:
        """Get the score of a whole text, and finish its item."""
        run.state = board_module.RunState.SCORING
        score = run.score
        if score is None:
            score = await self._scorer.score(run)
        run.score = score
        if score is None:
            self._desk.finish(run, run.failed_result(), 'not scored')
        else:
            self._desk.finish(run, run.completed_result(score), 'completed')

    def _failed(
        self, run: board_module.ItemRun, result: ItemResult | None
    ) -> None:
        if result is None:
            run.state = board_module.RunState.WAITING
        else:
            self._desk.finish(run, result, 'failed at each attempt')

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
