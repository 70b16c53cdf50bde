"""Run the batch jobs of one service while this instance holds its duty."""

from __future__ import annotations

import functools
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway.jobs import cleaner
from yuccarill.daemon.gateway.jobs import item_runs
from yuccarill.daemon.gateway.jobs import job_cache as job_cache_module
from yuccarill.daemon.gateway.jobs import job_reader
from yuccarill.daemon.gateway.jobs import job_store as job_store_module
from yuccarill.daemon.gateway.jobs import listing
from yuccarill.daemon.gateway.jobs import paced_work
from yuccarill.daemon.gateway.jobs import service_engines
from yuccarill.daemon.gateway.jobs import shared_results
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

# Interval of checks for returned engines, expired items and jobs to remove.
TICK_SECONDS = 0.1
# Delay of the job watch after a change, to batch further changes. Jobs that
# this instance accepts start without the watch.
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
        handed_texts: defer.Deferred[list[PartialText]],
        known_speeds: Callable[[], Iterable[SpeedRecord]] = tuple,
    ) -> None:
        self._state = state
        self._duty = duty
        self._jobs = jobs
        self._store = store
        self._reader = job_reader.JobReader(jobs, clock)
        self._clock = clock
        self._queue = job_queue.JobQueue()
        self._speeds = service_engines.create_pace_estimator(state.placement)
        self._fleet = engines_module.EngineFleet(self._speeds)
        self._paced_survey = paced_work.PacedWork(self._run_survey, clock)
        self._requests = engine_requests.EngineRequests(
            store, self.request_update, clock
        )
        self._switcher = weight_switcher.WeightSwitcher(
            state,
            duty,
            self._queue,
            self._fleet,
            engines,
            self._requests,
            self.request_update,
            clock,
        )
        self._listings_by_job: dict[JobId, listing.Listing] = {}
        self._tasks_by_job: dict[JobId, set[defer.Deferred[None]]] = {}
        self.job_cache = job_cache_module.JobCache(duty, clock)
        self._runs = item_runs.ItemRuns(
            duty.service,
            state,
            self._queue,
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
            self._handle_work_change,
            clock,
            batch_seconds=WORK_SETTLE_SECONDS,
        )
        self._cleaner = cleaner.Cleaner(
            duty.service, jobs, state.settings.job_retention, clock
        )
        self._ticker = background.ticker(self._tick, 'runner', clock)
        self._background_tasks: list[defer.Deferred[None]] = []
        # Unfinished texts of the previous holder.
        self._handed_texts = handed_texts
        self._known_speeds = known_speeds
        self._is_stopped = False

    def start(self) -> None:
        """Start to run the jobs in the store."""
        starting = defer.Deferred.fromCoroutine(self._start_following())
        starting.addErrback(self._log_failure)
        self._background_tasks.append(starting)

    async def _start_following(self) -> None:
        # Precedes loading jobs: items that already run cannot use the texts.
        self._queue.keep_partial_texts(await self._handed_texts)
        self._restore_speeds()
        for work in (
            self._follower.follow(),
            *self._requests.follow_coroutines(),
        ):
            following = defer.ensureDeferred(work)
            following.addErrback(self._log_failure)
            self._background_tasks.append(following)
        self._ticker.start(TICK_SECONDS).addErrback(self._log_failure)

    def _restore_speeds(self) -> None:
        if self._speeds is None:
            return
        records = list(self._known_speeds())
        for record in records:
            self._speeds.restore(record, self._now())
        log.info('Engine speeds restored.', count=len(records))

    def speed_records(self) -> list[SpeedRecord]:
        """Return the known engine speeds, for another instance."""
        if self._speeds is None:
            return []
        return self._speeds.records(self._now())

    def stop(self) -> None:
        """Cancel all work; another instance continues from the store."""
        self._is_stopped = True
        self._runs.stop()
        self._paced_survey.stop()
        if self._ticker.running:
            self._ticker.stop()
        for following in self._background_tasks:
            following.cancel()
        self._switcher.stop()
        for job in list(self._tasks_by_job):
            self._drop_job(job)

    def resume(self) -> None:
        """Read jobs and requests again after a gap in the watches."""
        self._follower.refresh()
        self._requests.refresh()
        self.request_update()

    def count_load(self) -> tuple[int, int]:
        """Return the number of used slots and of waiting items."""
        return self._fleet.running, self._queue.count_waiting()

    def unlisted_texts(self) -> list[PartialText]:
        """Return the unlisted texts that another instance can continue."""
        return self._queue.partial_texts(self._listed_items())

    def open_texts(self) -> list[PartialText]:
        """Return the unlisted texts of open jobs."""
        return self._queue.unlisted_texts(self._listed_items())

    def open_jobs(self) -> list[tuple[Job, frozenset[ItemId]]]:
        """Return the open jobs, each with the ids of its listed items."""
        jobs = []
        for job_id, state in self._queue.jobs_by_id.items():
            listed = self._listings_by_job.get(job_id)
            ids = [] if listed is None else [r.id for r in listed.results]
            jobs.append((state.job, frozenset(ids)))
        return jobs

    def _listed_items(self) -> set[ItemId]:
        return {
            result.id
            for job_listing in self._listings_by_job.values()
            for result in job_listing.results
        }

    def has_job(self, job: JobId) -> bool:
        """Return whether this runner has or had a job."""
        return job in self.job_cache

    @property
    def service(self) -> ServiceName:
        return self._duty.service

    def add_job(self, job: Job) -> None:
        """Run a job that this instance accepted, unless it is known."""
        if job.id not in self._tasks_by_job and job.id not in self.job_cache:
            self._tasks_by_job[job.id] = set()
            self.track(job.id, self._add_job(job, []))

    def request_update(self) -> None:
        """Check engines, weights and runs soon, and start waiting items.

        Each check reads all runs and engines, so calls are combined.
        """
        self._paced_survey.request()

    def _run_survey(self) -> None:
        if self._is_stopped:
            return
        self._fleet.update(self._state.engines(self._duty.service))
        self._runs.mark_urgent_models()
        self._switcher.update()
        self._runs.move_runs()
        self._runs.start_waiting_items()

    def _tick(self) -> None:
        self.request_update()
        for run in self._queue.expired(self._now()):
            self.finish(run, run.failed_result(), 'its job expired')
        self._cleaner.update()

    def _handle_work_change(self, change: Entry | Removal) -> None:
        if isinstance(change, store_module.Removal):
            return
        job = keys.job_of_work(change.key)
        try:
            record = job_store_module.decode_work(change.value)
        except msgspec.MsgspecError as error:
            log.error('Invalid job entry.', key=change.key, cause=str(error))
            return
        if record.is_ended:
            self._cleaner.schedule_removal(job)
            self._end_job(job)
        elif job not in self._tasks_by_job and job not in self.job_cache:
            self._tasks_by_job[job] = set()
            self.track(job, self._load_job(job))

    async def _load_job(self, job_id: JobId) -> None:
        job = await self._reader.read_job(job_id)
        if job is None or job_id not in self._tasks_by_job:
            return
        await self._add_job(job, await self._reader.read_results(job))

    async def _add_job(self, job: Job, listed: list[ItemResult]) -> None:
        job_listing = listing.Listing(
            job.id,
            len(job.items),
            listed,
            shared_results.writer(self._jobs, self._store, job, self._clock),
            self._duty,
            self._clock,
            functools.partial(self._reload_job, job.id),
        )
        # The clocks of two machines can differ; the difference affects the
        # order of jobs, but never expires an item.
        age = max(0.0, time.time() - job.submitted_at)
        submitted = self._now() - age
        due = job.due_at - job.submitted_at
        retained = job.retained_until - job.submitted_at
        state = job_queue.JobState(
            job,
            Instant(submitted),
            Instant(submitted + due),
            # Counts from now, so that a clock that is ahead expires no item
            # for which a trainer still waits.
            Instant(self._now() + retained),
        )
        reused = self._queue.add(state, listed)
        self._listings_by_job[job.id] = job_listing
        if job.model is not None:
            self._switcher.items_by_model[job.model] = len(job.items)
        self.job_cache.add(job, job_listing)
        log.info(
            'Job taken.',
            job=job.id,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            listed=len(listed),
            reused=len(reused),
            resumed=sum(run.text.events > 0 for run in state.waiting()),
            age=round(age, 2),
        )
        for run in reused:
            self.track(job.id, self._runs.score(run))
        self._runs.start_waiting_items()

    def _end_job(self, job: JobId) -> None:
        if self._queue.remove(job) is not None:
            log.info('Job ended.', job=job)
        self._drop_job(job)

    def _reload_job(self, job: JobId) -> None:
        # The queue keeps the generated texts.
        self.job_cache.remove(job)
        self._queue.remove(job)
        self._drop_job(job)
        self._tasks_by_job[job] = set()
        self.track(job, self._load_job(job))

    def _drop_job(self, job: JobId) -> None:
        job_listing = self._listings_by_job.pop(job, None)
        if job_listing is not None:
            job_listing.stop()
        for work in list(self._tasks_by_job.pop(job, ())):
            work.cancel()

    def finish(
        self, run: job_queue.ItemRun, result: ItemResult, cause: str
    ) -> None:
        """Record the result of an item and schedule its write."""
        state = self._queue.jobs_by_id.get(run.job.id)
        job_listing = self._listings_by_job.get(run.job.id)
        if state is None or job_listing is None:
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
        job_listing.add(
            result, is_group_whole and state.is_listing_urgent(self._now())
        )

    def track(
        self, job: JobId, work: Coroutine[Any, Any, None]
    ) -> defer.Deferred[None]:
        """Start work that is cancelled when its job ends."""
        running = defer.Deferred.fromCoroutine(work)
        tasks = self._tasks_by_job.setdefault(job, set())
        tasks.add(running)

        def finish_task(result: Any) -> None:
            tasks.discard(running)
            if hasattr(result, 'check'):
                self._log_failure(result)

        running.addBoth(finish_task)
        return running

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Runner task failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
