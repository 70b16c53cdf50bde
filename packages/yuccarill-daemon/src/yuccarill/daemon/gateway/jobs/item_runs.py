"""Run the waiting items of a service at its engines."""

from __future__ import annotations

import functools
import math
import traceback
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway import partitions
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import engine_assignment
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import item_routes
from yuccarill.core.jobs import job_queue
from yuccarill.core.jobs import planning
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.jobs import item_holds
from yuccarill.daemon.gateway.jobs import run_moves
from yuccarill.daemon.gateway.jobs import service_engines
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.jobs.generation import Generator
    from yuccarill.daemon.gateway.jobs.scoring import Scorer
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('runner')

# Fraction of the event loop's time for ordering and starting waiting items.
PUMP_TIME_FRACTION = 0.2
# Shorter pauses are skipped.
MIN_PUMP_PAUSE_SECONDS = 0.005


class ResultSink(Protocol):
    """Record item results and track the tasks of jobs."""

    def finish(
        self, run: job_queue.ItemRun, result: ItemResult, cause: str
    ) -> None:
        """Record the result of an item."""
        ...

    def track(
        self, job: JobId, work: Coroutine[Any, Any, None]
    ) -> defer.Deferred[None]:
        """Start work that is cancelled when its job ends."""
        ...


class _Needs(NamedTuple):
    """Name the engines and weights that an item can use."""

    service: ServiceName
    model: ModelName | None
    min_version: WeightVersion


class ItemRuns:
    """Run the waiting items of a job queue."""

    def __init__(
        self,
        service: ServiceName,
        state: GatewayState,
        queue: job_queue.JobQueue,
        fleet: engines_module.EngineFleet,
        generator: Generator,
        guard: ContentGuard,
        scorer: Scorer,
        result_sink: ResultSink,
        clock: Any,
    ) -> None:
        self._service = service
        self._own_service = partitions.service_of_part(service)
        self._state = state
        self._queue = queue
        self._fleet = fleet
        self._generator = generator
        self._scorer = scorer
        self._results = result_sink
        self._clock = clock
        self._holds = item_holds.ItemHolds(queue, guard)
        self._plan: planning.FinishPlan | None = None
        if fleet.speeds is not None:
            self._plan = planning.FinishPlan(queue, fleet)
        self._own_engines = service_engines.ServiceEngines(
            self._own_service,
            fleet,
            run_moves.RunMoves(queue, fleet, self._plan, clock),
        )
        self._others = service_engines.OtherServices(
            service, state, queue, clock
        )
        self._job_services = item_routes.JobServices(self._own_service)
        # Jobs for which the wait for a configuration was logged.
        self._undecided_jobs: set[JobId] = set()
        self._is_stopped = False
        self._is_pumping = False
        self._is_pump_requested = False
        # Timer of the next pump; end time and duration of the last pump.
        self._next_pump: Any = None
        self._pumped_at = -math.inf
        self._pump_seconds = 0.0

    def stop(self) -> None:
        """Start no more items."""
        self._is_stopped = True
        if self._next_pump is not None and self._next_pump.active():
            self._next_pump.cancel()

    def mark_urgent_models(self) -> None:
        """Mark the own engines that run items without slack."""
        self._own_engines.run_mover.mark_urgent_models()

    def move_runs(self) -> None:
        """Move the runs that are better off at another engine."""
        self._own_engines.run_mover.move_runs()
        self._others.move_runs()

    def _pump_soon(self) -> None:
        """Pump now, or as soon as the time fraction of pumps allows.

        Each pump orders all waiting items; one for each ended run would
        block the event loop when thousands of items wait.
        """
        if self._next_pump is not None and self._next_pump.active():
            return
        pause = self._pump_seconds / PUMP_TIME_FRACTION
        remaining = self._pumped_at + pause - self._clock.seconds()
        if remaining <= MIN_PUMP_PAUSE_SECONDS:
            self.start_waiting_items()
        else:
            self._next_pump = self._clock.callLater(
                remaining, self.start_waiting_items
            )

    def start_waiting_items(self) -> None:
        """Start the waiting items for which an engine has a free slot."""
        if self._is_stopped or self._is_pumping:
            # A run that ends during a pump requests another pump.
            self._is_pump_requested = True
            return
        self._is_pumping = True
        began_at = self._clock.seconds()
        try:
            self._is_pump_requested = True
            while self._is_pump_requested:
                self._is_pump_requested = False
                self._start_waiting()
        finally:
            self._is_pumping = False
            self._pumped_at = self._clock.seconds()
            self._pump_seconds = self._pumped_at - began_at

    def _start_waiting(self) -> None:
        now = self._now()
        all_needs = self._needs()
        # Avoids ordering all waiting items when none can start.
        if not self._has_free_slots(now):
            return
        full_needs: set[_Needs] = set()
        pace = self._fleet.usual_pace(now) or job_queue.DEFAULT_PACE

        @functools.cache
        def assigner_of(
            service: ServiceName,
        ) -> engine_assignment.EngineAssigner:
            return engine_assignment.EngineAssigner(
                self._engines(service).fleet, now
            )

        self._holds.resume()
        self._start_trials()
        for run in self._ordered_runs(pace, now):
            if all_needs and len(full_needs) == len(all_needs):
                break
            match self._decide_route(run):
                case item_routes.RunAt(service):
                    needs = _Needs(service, run.job.model, run.job.min_version)
                    if needs not in full_needs and not self._start_if_possible(
                        run, self._engines(service), assigner_of(service)
                    ):
                        full_needs.add(needs)
                case item_routes.Revoked():
                    self._finish_revoked(run)
                case item_routes.Undecided():
                    self._log_undecided(run.job)

    def _start_trials(self) -> None:
        """Try held items again, each at an engine with few other runs."""
        for run in self._holds.trial_candidates():
            match self._decide_route(run):
                case item_routes.RunAt(service):
                    self._start_trial_if_due(run, self._engines(service))
                case item_routes.Revoked():
                    self._finish_revoked(run)
                case item_routes.Undecided():
                    self._log_undecided(run.job)

    def _start_trial_if_due(
        self,
        run: job_queue.ItemRun,
        engines: service_engines.ServiceEngines,
    ) -> None:
        count = len(engines.fleet.engines_by_id)
        if not self._holds.may_try(run, engines.service, count):
            return
        engine = self._holds.choose_trial_engine(
            run, engines.service, engines.fleet
        )
        if engine is not None:
            self._holds.start_trial(run, engines.service)
            self._start(run, engines, engine)

    def _finish_revoked(self, run: job_queue.ItemRun) -> None:
        self._results.finish(run, run.failed_result(), 'its route was removed')

    def _start_if_possible(
        self,
        run: job_queue.ItemRun,
        engines: service_engines.ServiceEngines,
        assigner: engine_assignment.EngineAssigner,
    ) -> bool:
        """Start an item unless held; return False if the engines are full."""
        if self._holds.is_held_back(run, engines.service):
            return True
        engine = self._holds.choose_engine(run, assigner)
        if engine is None:
            return self._holds.is_suspect(run)
        self._start(run, engines, engine)
        return True

    def _needs(self) -> set[_Needs]:
        """Return the engines and weights that the open jobs need.

        Items of one service, model and minimum version can use the same
        engines.
        """
        jobs_by_id = self._queue.jobs_by_id
        self._job_services.update(self._state.route_table, jobs_by_id)
        needs = {
            _Needs(service, state.job.model, state.job.min_version)
            for state in jobs_by_id.values()
            for service in self._job_services.of(state.job)
        }
        others = {need.service for need in needs} - {self._own_service}
        self._others.keep(others)
        for service in others:
            self._others.get(service)
        return needs

    def _engines(self, service: ServiceName) -> service_engines.ServiceEngines:
        if service == self._own_service:
            return self._own_engines
        return self._others.get(service)

    def _has_free_slots(self, now: Instant) -> bool:
        return self._fleet.has_free_slots(now) or self._others.has_free_slots(
            now
        )

    def _ordered_runs(
        self, pace: float, now: Instant
    ) -> Iterable[job_queue.ItemRun]:
        if self._plan is None:
            return self._queue.waiting(pace)
        was_short = self._plan.is_short
        found = self._plan.waiting(pace, now)
        put_off = self._plan.deferred_groups
        meters.GROUPS_PUT_OFF.labels(self._service).set(put_off)
        if self._plan.is_short is not was_short:
            event = (
                'Engines can finish all groups in time again.'
                if was_short
                else 'Engines cannot finish all groups in time.'
            )
            log.info(event, service=self._service, put_off=put_off)
        return found

    def _decide_route(self, run: job_queue.ItemRun) -> item_routes.Decision:
        return item_routes.decide(
            self._state.route_table, run.job, run.item, self._own_service
        )

    def _log_undecided(self, job: Job) -> None:
        if job.id in self._undecided_jobs:
            return
        self._undecided_jobs &= self._queue.jobs_by_id.keys()
        self._undecided_jobs.add(job.id)
        table = self._state.route_table
        log.info(
            'Job waits for a newer configuration.',
            job=job.id,
            accepted_under=job.accepted_version,
            configuration=None if table is None else table.version,
        )

    def _start(
        self,
        run: job_queue.ItemRun,
        engines: service_engines.ServiceEngines,
        engine: engines_module.EngineState,
    ) -> None:
        run.state = job_queue.RunState.RUNNING
        self._queue.jobs_by_id[run.job.id].begin(run)
        engine.runs_by_model[run.job.model] += 1
        if self._plan is not None:
            self._log_start(self._plan, run, engines.fleet, engine)
        if engines is not self._own_engines:
            log.info(
                'Item sent to the service that its route names now.',
                item=run.item.id,
                job=run.job.id,
                service=engines.service,
                engine=engine.target.id,
            )
        work = self._results.track(run.job.id, self._run(run, engines, engine))
        work.addBoth(lambda _: self._pump_soon())

    def _log_start(
        self,
        plan: planning.FinishPlan,
        run: job_queue.ItemRun,
        fleet: engines_module.EngineFleet,
        engine: engines_module.EngineState,
    ) -> None:
        now = self._now()
        concurrent = engine.running - 1
        estimate = fleet.estimate(engine, concurrent, now)
        log.info(
            'Run placed.',
            item=run.item.id,
            engine=engine.target.id,
            beside=concurrent,
            estimate=round(estimate.pace, 4),
            deviation=round(estimate.deviation, 3),
            spare=round(plan.slack(run, estimate.pace, now), 2),
            fits=plan.is_feasible(run),
        )

    async def _run(
        self,
        run: job_queue.ItemRun,
        engines: service_engines.ServiceEngines,
        engine: engines_module.EngineState,
    ) -> None:
        active_run = run_moves.ActiveRun(
            engine, self._now(), engines.fleet.speeds
        )
        active_run.work = defer.Deferred.fromCoroutine(
            self._generator.run(run, engine, active_run.record_event)
        )
        active_runs_by_item = engines.run_mover.active_runs_by_item
        active_runs_by_item[run] = active_run
        outcome: generation.Outcome | None = None
        try:
            outcome = await active_run.work
        except defer.CancelledError:
            if not active_run.is_moved:
                raise
            outcome = generation.Outcome.BROKEN
        except Exception:
            # The item is still owed, and no one else would run it again.
            log.error(
                'Run failed unexpectedly.',
                item=run.item.id,
                job=run.job.id,
                engine=engine.target.id,
                cause=traceback.format_exc(),
            )
            engine.fail(self._now())
            outcome = generation.Outcome.BROKEN
        finally:
            del active_runs_by_item[run]
            engine.runs_by_model[run.job.model] -= 1
            active_run.work.cancel()
            self._holds.finish_run(run, outcome)
        match outcome:
            case generation.Outcome.WHOLE:
                run.text.is_whole = True
                self._queue.lengths.learn(
                    run.job.model, run.item, run.text.events
                )
                await self.score(run)
            case generation.Outcome.FAILED:
                self._handle_failure(run, run.fail())
            case generation.Outcome.IMPOSSIBLE:
                self._results.finish(run, run.failed_result(), 'impossible')
            case generation.Outcome.BROKEN | generation.Outcome.NOT_RUN:
                run.state = job_queue.RunState.WAITING
                self._holds.ensure_content(run)

    async def score(self, run: job_queue.ItemRun) -> None:
        """Score a whole text and record the result of its item."""
        run.state = job_queue.RunState.SCORING
        score = run.score
        if score is None:
            score = await self._scorer.score(run)
        run.score = score
        if score is None:
            self._results.finish(run, run.failed_result(), 'scoring failed')
        else:
            self._results.finish(run, run.completed_result(score), 'completed')

    def _handle_failure(
        self, run: job_queue.ItemRun, result: ItemResult | None
    ) -> None:
        if result is None:
            run.state = job_queue.RunState.WAITING
        else:
            self._results.finish(run, result, 'each attempt failed')

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
