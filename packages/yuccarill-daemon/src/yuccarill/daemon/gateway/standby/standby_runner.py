"""Run a lost holder's items without listing their results."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.daemon.gateway.jobs import item_runs
from yuccarill.daemon.gateway.jobs import service_engines
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.daemon.gateway.jobs.generation import Generator
    from yuccarill.daemon.gateway.jobs.scoring import Scorer
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('standby')


class StandbyRunner:
    """Generate and score items whose results the next holder lists.

    No duty is needed: repeated runs of an item are harmless, since results
    are listed by conditional writes, and engines get no orders.
    """

    def __init__(
        self,
        service: ServiceName,
        state: GatewayState,
        generator: Generator,
        guard: ContentGuard,
        scorer: Scorer,
        clock: Any,
    ) -> None:
        self._service = service
        self._state = state
        self._clock = clock
        self._queue = queue_module.JobQueue()
        self._fleet = engines_module.EngineFleet(
            service_engines.create_pace_estimator(state.placement)
        )
        self._tasks: set[defer.Deferred[None]] = set()
        self._runs = item_runs.ItemRuns(
            service,
            state,
            self._queue,
            self._fleet,
            generator,
            guard,
            scorer,
            self,
            clock,
        )

    def start(
        self,
        jobs: Iterable[tuple[Job, set[ItemId]]],
        texts: Iterable[PartialText],
    ) -> None:
        """Start the items that have not ended."""
        self._queue.keep_partial_texts(texts)
        for job, ended in jobs:
            self._add_job(job, ended)
        self.schedule_runs()

    def _add_job(self, job: Job, ended: set[ItemId]) -> None:
        # Clock skew between machines affects only the order of jobs.
        age = max(0.0, time.time() - job.submitted_at)
        submitted_at = Instant(self._now() - age)
        due_at = Instant(submitted_at + job.due_at - job.submitted_at)
        # No expiry: the next holder decides when an item is abandoned.
        state = queue_module.JobState(
            job, submitted_at, due_at, Instant(float('inf'))
        )
        for item in ended:
            state.end(item)
        for run in self._queue.add(state):
            self.track(job.id, self._runs.score(run))

    def schedule_runs(self) -> None:
        """Update the engines, move runs and start those that fit."""
        self._fleet.update(self._state.engines(self._service))
        self._runs.move_runs()
        self._runs.start_waiting_items()

    def stop(self) -> None:
        """Cancel all runs and keep their texts."""
        self._runs.stop()
        for work in list(self._tasks):
            work.cancel()

    def texts(self) -> list[PartialText]:
        """Return the partial text of each item."""
        return self._queue.partial_texts(())

    def finish(
        self, run: queue_module.ItemRun, result: ItemResult, cause: str
    ) -> None:
        """Mark an item as ended; the next holder lists the result."""
        self._queue.jobs_by_id[run.job.id].end(run.item.id)
        log.info(
            'Item ended in a standby run.',
            item=run.item.id,
            job=run.job.id,
            end=result.state,
            cause=cause,
        )

    def track(
        self, job: JobId, work: Coroutine[Any, Any, None]
    ) -> defer.Deferred[None]:
        """Start work that is cancelled when this runner stops."""
        running = defer.Deferred.fromCoroutine(work)
        self._tasks.add(running)
        running.addBoth(self._task_ended, running)
        return running

    def _task_ended(self, result: Any, running: defer.Deferred[None]) -> None:
        self._tasks.discard(running)
        if hasattr(result, 'check') and not result.check(defer.CancelledError):
            log.error('Standby run failed.', cause=result.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
