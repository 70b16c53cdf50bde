"""Run the batch jobs of one service while this instance holds its duty."""

from __future__ import annotations

import functools
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as board_module
from yuccarill.daemon.gateway.jobs import cleaner
from yuccarill.daemon.gateway.jobs import item_runs
from yuccarill.daemon.gateway.jobs import job_reader
from yuccarill.daemon.gateway.jobs import job_store as job_store_module
from yuccarill.daemon.gateway.jobs import listing
from yuccarill.daemon.gateway.jobs import paced_work
from yuccarill.daemon.gateway.jobs import shared_results
from yuccarill.daemon.gateway.jobs import shelf
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.store import follower
from yuccarill.daemon.gateway.weights import engine_requests
from yuccarill.daemon.gateway.weights import weight_switcher
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.core.speeds.estimate import SpeedRecord
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.jobs.generation import Generator
    from yuccarill.daemon.gateway.jobs.job_store import JobStore
    from yuccarill.daemon.gateway.jobs.scoring import Scorer
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.engines import Engines
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


class Runner:
    """Run the items of every open job of a service."""

    def __init__(
        self,
        state: GatewayState,
        duty: Duty,
        store: Store,
        jobs: JobStore,
        generator: Generator,
        guard: ContentGuard,
        scorer: Scorer,
        engines: Engines,
        clock: Any,
        handed: defer.Deferred[list[PartialText]],
        known_speeds: Callable[[], Iterable[SpeedRecord]] = tuple,
    ) -> None:
        self._state = state
        self._duty = duty
        self._jobs = jobs
        self._store = store
        self._reader = job_reader.JobReader(jobs, clock)
        self._clock = clock
        self._board = board_module.JobQueue()
        self._speeds = item_runs.speed_book(state.placement)
        self._fleet = engines_module.EngineFleet(self._speeds)
        self._surveys = paced_work.PacedWork(self._survey, clock)
        self._requests = engine_requests.EngineRequests(
            store, self.survey, clock
        )
        self._switcher = weight_switcher.WeightSwitcher(
            state,
            duty,
            self._board,
            self._fleet,
            engines,
            self._requests,
            self.survey,
            clock,
        )
        self._listings_by_job: dict[JobId, listing.Listing] = {}
        self._works_by_job: dict[JobId, set[defer.Deferred[None]]] = {}
        # What readers are answered from.
        self.shelf = shelf.Shelf(duty, clock)
        self._runs = item_runs.ItemRuns(
            duty.service,
            state,
            self._board,
            self._fleet,
            generator,
            guard,
            scorer,
            self,
            clock,
        )
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
        # What the holder before had made of the items.
        self._handed = handed
        self._known_speeds = known_speeds
        self._is_stopped = False

    def start(self) -> None:
        """Begin with the jobs that stand in the store."""
        starting = defer.Deferred.fromCoroutine(self._start())
        starting.addErrback(self._crashed)
        self._following.append(starting)

    async def _start(self) -> None:
        # Before any job: an item that runs already is not looked up again.
        self._board.keep_partial_texts(await self._handed)
        self._restore_speeds()
        for work in (self._follower.follow(), *self._requests.following()):
            following = defer.ensureDeferred(work)
            following.addErrback(self._crashed)
            self._following.append(following)
        self._ticker.start(TICK_SECONDS).addErrback(self._crashed)

    def _restore_speeds(self) -> None:
        if self._speeds is None:
            return
        records = list(self._known_speeds())
        for record in records:
            self._speeds.restore(record, self._now())
        log.info('Speeds restored.', count=len(records))

    def speed_records(self) -> list[SpeedRecord]:
        """Return what another instance has to know of the engines."""
        if self._speeds is None:
            return []
        return self._speeds.records(self._now())

    def stop(self) -> None:
        """Give up everything; another instance goes on from the store."""
        self._is_stopped = True
        self._runs.stop()
        self._surveys.stop()
        if self._ticker.running:
            self._ticker.stop()
        for following in self._following:
            following.cancel()
        self._switcher.stop()
        for job in list(self._works_by_job):
            self._forget(job)

    def resume(self) -> None:
        """Read anew what may have changed without being heard."""
        self._follower.refresh()
        self._requests.refresh()
        self.survey()

    def work(self) -> tuple[int, int]:
        """Return the places in use, and the items that wait for one."""
        return self._fleet.running, self._board.count_waiting()

    def left_texts(self) -> list[PartialText]:
        """Return the texts that another instance would go on with."""
        return self._board.partial_texts(self._listed_items())

    def open_texts(self) -> list[PartialText]:
        """Return those of open jobs only."""
        return self._board.unlisted(self._listed_items())

    def open_jobs(self) -> list[tuple[Job, frozenset[ItemId]]]:
        """Return the open jobs, each with its items that are listed."""
        found = []
        for job_id, state in self._board.jobs_by_id.items():
            listed = self._listings_by_job.get(job_id)
            ids = [] if listed is None else [r.id for r in listed.results]
            found.append((state.job, frozenset(ids)))
        return found

    def _listed_items(self) -> set[ItemId]:
        return {
            result.id
            for found in self._listings_by_job.values()
            for result in found.results
        }

    def knows(self, job: JobId) -> bool:
        """Tell whether a job is one of this service."""
        return job in self.shelf

    @property
    def service(self) -> ServiceName:
        return self._duty.service

    def offer(self, job: Job) -> None:
        """Take a job that was accepted here."""
        if job.id not in self._works_by_job and job.id not in self.shelf:
            self._works_by_job[job.id] = set()
            self.track(job.id, self._begin(job, []))

    def survey(self) -> None:
        """Look at engines, weights and runs anew, and start what can be.

        Looks at each run and each engine, so what changes meanwhile is
        looked at together.
        """
        self._surveys.ask()

    def _survey(self) -> None:
        if self._is_stopped:
            return
        self._fleet.update(self._state.engines(self._duty.service))
        self._runs.moves.note_hurry()
        self._switcher.update()
        self._runs.moves.move()
        self._runs.pump()

    def _tick(self) -> None:
        self.survey()
        for run in self._board.expired(self._now()):
            self.finish(run, run.failed_result(), 'time is over')
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
        elif job not in self._works_by_job and job not in self.shelf:
            self._works_by_job[job] = set()
            self.track(job, self._take(job))

    async def _take(self, job_id: JobId) -> None:
        job = await self._reader.job(job_id)
        if job is None or job_id not in self._works_by_job:
            return
        await self._begin(job, await self._reader.listed(job))

    async def _begin(self, job: Job, known: list[ItemResult]) -> None:
        found = listing.Listing(
            job.id,
            len(job.items),
            known,
            shared_results.writer(self._jobs, self._store, job, self._clock),
            self._duty,
            self._clock,
            functools.partial(self._take_again, job.id),
        )
        # By the clocks of two machines, of which either may have been set
        # anew: it may put jobs in another order, but gives nothing up.
        age = max(0.0, time.time() - job.submitted_at)
        submitted = self._now() - age
        due = job.due_at - job.submitted_at
        retained = job.retained_until - job.submitted_at
        state = board_module.JobState(
            job,
            Instant(submitted),
            Instant(submitted + due),
            # Counted from here: a clock that is ahead would give items up
            # that a trainer still waits for, and a later end costs nothing.
            Instant(self._now() + retained),
        )
        reused = self._board.add(state, known)
        self._listings_by_job[job.id] = found
        if job.model is not None:
            self._switcher.items_by_model[job.model] = len(job.items)
        self.shelf.keep(job, found)
        log.info(
            'Job taken.',
            job=job.id,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            listed=len(known),
            reused=len(reused),
            resumed=sum(run.text.events > 0 for run in state.waiting()),
            age=round(age, 2),
        )
        for run in reused:
            self.track(job.id, self._runs.score(run))
        self._runs.pump()

    def _end(self, job: JobId) -> None:
        if self._board.remove(job) is not None:
            log.info('Job ended.', job=job)
        self._forget(job)

    def _take_again(self, job: JobId) -> None:
        # The texts that were made stay on the board.
        self.shelf.drop(job)
        self._board.remove(job)
        self._forget(job)
        self._works_by_job[job] = set()
        self.track(job, self._take(job))

    def _forget(self, job: JobId) -> None:
        found = self._listings_by_job.pop(job, None)
        if found is not None:
            found.stop()
        for work in list(self._works_by_job.pop(job, ())):
            work.cancel()

    def finish(
        self, run: board_module.ItemRun, result: ItemResult, cause: str
    ) -> None:
        """List an item's result."""
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
        found.add(
            result, is_group_whole and state.is_listing_urgent(self._now())
        )

    def track(
        self, job: JobId, work: Coroutine[Any, Any, None]
    ) -> defer.Deferred[None]:
        """Start work that ends with its job."""
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
