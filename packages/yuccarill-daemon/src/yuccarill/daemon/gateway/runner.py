"""Run the batch jobs of one service while this instance holds its duty."""

from __future__ import annotations

import enum
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import engines as engines_module
from yuccarill.daemon.gateway import cleaner
from yuccarill.daemon.gateway import engine_requests
from yuccarill.daemon.gateway import follower
from yuccarill.daemon.gateway import generation
from yuccarill.daemon.gateway import intake
from yuccarill.daemon.gateway import job_store as job_store_module
from yuccarill.daemon.gateway import listing
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway import weight_switcher
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.duties import Duty
    from yuccarill.daemon.gateway.generation import Generator
    from yuccarill.daemon.gateway.job_store import JobStore
    from yuccarill.daemon.gateway.scoring import Scorer
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.engines import Engines
    from yuccarill.platform.server import ResultsQuery
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal
    from yuccarill.platform.store import Store

log = logs.for_part('runner')

# Seconds between looks at what has no event of its own: engines that come
# back, items whose time is over.
TICK_SECONDS = 0.1
# Seconds before the watch for jobs is sent again after a change. Most jobs
# and ends come here first; the watch tells of the others.
WORK_SETTLE_SECONDS = 0.2
# Seconds within which the store has to have known the duty for readers to
# be answered from memory. What was read once may not be missing elsewhere a
# second later; a read of the key for several readers is one call.
READ_AGE = 0.6
# Jobs kept for readers: about 0.6 MB each.
MAX_KEPT = 30


class _Permission(enum.Enum):
    """Say whether the configuration allows an item here."""

    GRANTED = 'granted'
    # No route leads to it any more.
    REVOKED = 'revoked'
    # Its route leads to another service.
    ELSEWHERE = 'elsewhere'


class _Generating:
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


class _KeptJob(NamedTuple):
    """Keep a job and its results for readers."""

    job: Job
    listing: listing.Listing


class Runner:
    """Run the items of every open job of a service."""

    def __init__(
        self,
        state: GatewayState,
        duty: Duty,
        store: Store,
        jobs: JobStore,
        generator: Generator,
        scorer: Scorer,
        engines: Engines,
        clock: Any,
    ) -> None:
        self._state = state
        self._duty = duty
        self._jobs = jobs
        self._generator = generator
        self._scorer = scorer
        self._clock = clock
        self._board = board_module.JobBoard()
        self._fleet = engines_module.EngineFleet()
        self._requests = engine_requests.EngineRequests(
            store, self.survey, clock
        )
        self._switcher = weight_switcher.WeightSwitcher(
            state,
            duty,
            self._fleet,
            engines,
            self._requests,
            self.survey,
            clock,
        )
        self._listings_by_job: dict[JobId, listing.Listing] = {}
        # Jobs that readers may still ask for, the oldest first.
        self._kept_by_id: dict[JobId, _KeptJob] = {}
        self._works_by_job: dict[JobId, set[defer.Deferred[None]]] = {}
        self._generating_by_run: dict[board_module.ItemRun, _Generating] = {}
        self._follower = follower.PrefixFollower(
            store,
            keys.work_of_service(duty.service),
            self._work_change,
            clock,
            settle_seconds=WORK_SETTLE_SECONDS,
        )
        self._cleaner = cleaner.Cleaner(
            duty.service, jobs, state.settings.job_retention, clock
        )
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = clock
        self._following: list[defer.Deferred[None]] = []
        self._is_stopped = False
        self._is_pumping = False
        self._is_asked = False

    def start(self) -> None:
        """Begin with the jobs that stand in the store."""
        for work in (self._follower.follow(), *self._requests.following()):
            following = defer.ensureDeferred(work)
            following.addErrback(self._crashed)
            self._following.append(following)
        self._ticker.start(TICK_SECONDS).addErrback(self._crashed)

    def stop(self) -> None:
        """Give up everything; another instance goes on from the store."""
        self._is_stopped = True
        if self._ticker.running:
            self._ticker.stop()
        for following in self._following:
            following.cancel()
        self._switcher.stop()
        for job in list(self._works_by_job):
            self._forget(job)

    def resume(self) -> None:
        """Go on after the duty was lost and came back unused."""
        self._follower.refresh()
        self._requests.refresh()
        self.survey()

    async def read_results(self, query: ResultsQuery) -> bytes | None:
        """Return a job's results, none if the store has to be asked."""
        kept = self._kept_by_id.get(query.job)
        if kept is None:
            return None
        found = kept.listing
        deadline = self._now() + query.wait
        while query.first >= len(found.results) < found.total:
            left = deadline - self._now()
            if left <= 0.0 or query.job not in self._listings_by_job:
                break
            await found.wait(left)
        # Without the duty, another instance may have listed more, which a
        # reader may have seen there.
        if not await self._duty.confirm(READ_AGE):
            return None
        # A chunk whose write is under way may stand already, and a reader
        # may have had it elsewhere.
        if found.write_age() > READ_AGE:
            return None
        return intake.page(found.total, found.results, query.first)

    def read_item(self, job_id: JobId, item_id: ItemId) -> bytes | None:
        """Return an item's body, none if the store has to be asked."""
        kept = self._kept_by_id.get(job_id)
        if kept is None:
            return None
        for item in kept.job.items:
            if item.id == item_id:
                return item.body
        return None

    def knows(self, job: JobId) -> bool:
        """Tell whether a job is one of this service."""
        return job in self._kept_by_id

    @property
    def service(self) -> ServiceName:
        return self._duty.service

    def offer(self, job: Job) -> None:
        """Take a job that was accepted here."""
        if job.id not in self._works_by_job and job.id not in self._kept_by_id:
            self._works_by_job[job.id] = set()
            self._track(job.id, self._begin(job, []))

    def survey(self) -> None:
        """Look at engines, weights and runs anew, and start what can be.

        Costs some ms with hundreds of runs: done at each tick, not at each
        run's end, which took all of a half core's time.
        """
        if self._is_stopped:
            return
        self._fleet.update(
            self._state.targets.ready(self._duty.service).values()
        )
        self._switcher.update()
        self._move_runs()
        self.pump()

    def pump(self) -> None:
        """Start the items that have a place now."""
        if self._is_stopped or self._is_pumping:
            # A run that ends while others are started asks for a pump too.
            self._is_asked = True
            return
        self._is_pumping = True
        try:
            self._is_asked = True
            while self._is_asked:
                self._is_asked = False
                self._pump()
        finally:
            self._is_pumping = False

    def _pump(self) -> None:
        now = self._now()
        # Items of one model and age of weights find the same engines.
        full: set[tuple[ModelName | None, WeightVersion]] = set()
        for run in list(self._board.waiting()):
            needs = (run.job.model, run.job.min_version)
            if needs in full:
                continue
            match self._permission(run):
                case _Permission.GRANTED:
                    engine = self._fleet.choose(run.job, now)
                    if engine is None:
                        full.add(needs)
                    else:
                        self._start(run, engine)
                case _Permission.REVOKED:
                    self._finish(run, run.given_up(), 'its route is gone')
                case _Permission.ELSEWHERE:
                    continue

    def _permission(self, run: board_module.ItemRun) -> _Permission:
        # Items are bound by the configuration in force as requests are: an
        # item must not reach a service that its route no longer names.
        table = self._state.table
        path = run.item.path.partition('?')[0]
        route = table.find(run.job.host, path) if table else None
        if route is None:
            return _Permission.REVOKED
        if self._duty.service in route.services:
            return _Permission.GRANTED
        return _Permission.ELSEWHERE

    def _tick(self) -> None:
        self.survey()
        for run in self._board.expired(self._now()):
            self._finish(run, run.given_up(), 'time is over')
        self._cleaner.update()

    def _work_change(self, change: Entry | Removal) -> None:
        if isinstance(change, store_module.Removal):
            return
        job = keys.job_of_work(change.key)
        try:
            record = job_store_module.decode_work(change.value)
        except msgspec.MsgspecError as error:
            log.error('Entry left out.', key=change.key, cause=str(error))
            return
        if record.is_ended:
            self._cleaner.ended(job)
            self._end(job)
        elif job not in self._works_by_job and job not in self._kept_by_id:
            self._works_by_job[job] = set()
            self._track(job, self._take(job))

    async def _take(self, job_id: JobId) -> None:
        job = await self._read(job_id)
        if job is None or job_id not in self._works_by_job:
            return
        await self._begin(job, await self._listed(job))

    async def _begin(self, job: Job, known: list[ItemResult]) -> None:
        found = listing.Listing(
            job.id, len(job.items), known, self._jobs, self._duty, self._clock
        )
        age = max(0.0, time.time() - job.submitted_at)
        submitted = self._now() - age
        due = job.due_at - job.submitted_at
        retained = job.retained_until - job.submitted_at
        state = board_module.JobState(
            job,
            Instant(submitted),
            Instant(submitted + due),
            Instant(submitted + retained),
        )
        reused = self._board.add(state, [result.id for result in known])
        self._listings_by_job[job.id] = found
        self._keep(job, found)
        log.info(
            'Job taken.',
            job=job.id,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            listed=len(known),
            reused=len(reused),
            age=round(age, 2),
        )
        for run in reused:
            self._track(job.id, self._score(run))
        self.pump()

    def _keep(self, job: Job, found: listing.Listing) -> None:
        self._kept_by_id[job.id] = _KeptJob(job, found)
        if len(self._kept_by_id) > MAX_KEPT:
            for job_id in list(self._kept_by_id):
                if job_id not in self._listings_by_job:
                    del self._kept_by_id[job_id]
                    return

    async def _read(self, job_id: JobId) -> Job | None:
        while True:
            try:
                return await self._jobs.read_job(job_id)
            except (store_module.StoreRefused, store_module.StoreUnclear):
                await task.deferLater(
                    self._clock, job_store_module.RETRY_SECONDS
                )
            except msgspec.MsgspecError as error:
                log.error('Job left out.', job=job_id, cause=str(error))
                return None

    async def _listed(self, job: Job) -> list[ItemResult]:
        while True:
            try:
                found = await self._jobs.read_results(job.id)
            except (store_module.StoreRefused, store_module.StoreUnclear):
                await task.deferLater(
                    self._clock, job_store_module.RETRY_SECONDS
                )
                continue
            chunks = sorted(found.chunks_by_position.items())
            return [r for _, chunk in chunks for r in chunk.results]

    def _end(self, job: JobId) -> None:
        if self._board.remove(job) is not None:
            log.info('Job ended.', job=job)
        self._forget(job)

    def _forget(self, job: JobId) -> None:
        found = self._listings_by_job.pop(job, None)
        if found is not None:
            found.stop()
        for work in list(self._works_by_job.pop(job, ())):
            work.cancel()

    def _start(
        self, run: board_module.ItemRun, engine: engines_module.EngineState
    ) -> None:
        run.state = board_module.RunState.RUNNING
        self._board.jobs_by_id[run.job.id].begin(run)
        engine.runs_by_model[run.job.model] += 1
        work = self._track(run.job.id, self._run(run, engine))
        work.addBoth(lambda _: self.pump())

    def _move_runs(self) -> None:
        """Move runs off engines that hold them up."""
        now = self._now()
        # Free places go to waiting items first. Moving all runs of a slow
        # engine for each place that came free moved 85 runs in a second,
        # most of them back to where they were.
        waiting = sum(1 for _ in self._board.waiting())
        for run, generating in list(self._generating_by_run.items()):
            engine = generating.engine
            if not self._fleet.is_held_up(
                engine,
                run.job,
                generating.started_at,
                generating.last_at,
                now,
            ):
                continue
            if self._fleet.free_places(run.job, now, engine) <= waiting:
                continue
            waiting += 1
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
            generating.is_moved = True
            generating.work.cancel()

    async def _run(
        self,
        run: board_module.ItemRun,
        engine: engines_module.EngineState,
    ) -> None:
        generating = _Generating(engine, self._now())
        generating.work = defer.Deferred.fromCoroutine(
            self._generator.run(run, engine, generating.progress)
        )
        self._generating_by_run[run] = generating
        try:
            outcome = await generating.work
        except defer.CancelledError:
            if not generating.is_moved:
                raise
            outcome = generation.Outcome.BROKEN
        finally:
            del self._generating_by_run[run]
            engine.runs_by_model[run.job.model] -= 1
            generating.work.cancel()
        match outcome:
            case generation.Outcome.WHOLE:
                run.text.is_whole = True
                await self._score(run)
            case generation.Outcome.FAILED:
                self._failed(run, run.fail())
            case generation.Outcome.IMPOSSIBLE:
                self._finish(run, run.given_up(), 'impossible')
            case generation.Outcome.BROKEN:
                run.state = board_module.RunState.WAITING

    async def _score(self, run: board_module.ItemRun) -> None:
        run.state = board_module.RunState.SCORING
        score = run.score
        if score is None:
            score = await self._scorer.score(run)
        run.score = score
        if score is None:
            self._finish(run, run.given_up(), 'not scored')
        else:
            self._finish(run, run.completed(score), 'completed')

    def _failed(
        self, run: board_module.ItemRun, result: ItemResult | None
    ) -> None:
        if result is None:
            run.state = board_module.RunState.WAITING
        else:
            self._finish(run, result, 'failed at each attempt')

    def _finish(
        self, run: board_module.ItemRun, result: ItemResult, cause: str
    ) -> None:
        state = self._board.jobs_by_id.get(run.job.id)
        found = self._listings_by_job.get(run.job.id)
        if state is None or found is None:
            return
        is_group_whole = state.end(run.item.id)
        seconds = self._now() - state.submitted_at
        meters.ITEMS.labels(result.state.value).inc()
        meters.ITEM_SECONDS.observe(seconds)
        log.info(
            'Item ended.',
            item=run.item.id,
            job=run.job.id,
            end=result.state,
            cause=cause,
            versions=result.versions,
            failures=run.failures,
            score_failures=run.score_failures,
            seconds=round(seconds, 2),
        )
        found.add(result, is_group_whole)

    def _track(self, job: JobId, work: Any) -> defer.Deferred[None]:
        running = defer.Deferred.fromCoroutine(work)
        works = self._works_by_job.setdefault(job, set())
        works.add(running)

        def ended(result: Any) -> None:
            works.discard(running)
            if hasattr(result, 'check'):
                self._crashed(result)

        running.addBoth(ended)
        return running

    def _crashed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Work failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
