"""Remove jobs from the store once their retention time is over."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.jobs.job_store import JobStore

log = logs.for_part('cleaner')

# Added to the time for which a job has to stay readable.
SLACK_SECONDS = 30.0


class Cleaner:
    """Remove ended jobs after their retention time.

    The retention time starts when this instance learns that a job has ended,
    so that no job is removed too early after a change of the holder.
    """

    def __init__(
        self,
        service: ServiceName,
        jobs: JobStore,
        retention: float,
        clock: Any,
    ) -> None:
        self._service = service
        self._jobs = jobs
        self._retention = retention
        self._clock = clock
        self._remove_at_by_job: dict[JobId, Instant] = {}
        self._removing: defer.Deferred[None] | None = None

    def schedule_removal(self, job: JobId) -> None:
        """Schedule the removal of a job that has ended."""
        at = self._clock.seconds() + self._retention + SLACK_SECONDS
        self._remove_at_by_job.setdefault(job, Instant(at))

    def update(self) -> None:
        """Start the removal of one job that is due, unless one is running."""
        now = self._clock.seconds()
        if self._removing is not None:
            return
        for job, at in self._remove_at_by_job.items():
            if now >= at:
                self._removing = defer.Deferred.fromCoroutine(
                    self._remove(job)
                )
                self._removing.addErrback(self._log_failure, job)
                self._removing.addBoth(self._finish_removal)
                return

    async def _remove(self, job: JobId) -> None:
        await self._jobs.remove(self._service, job)
        del self._remove_at_by_job[job]
        log.info('Job removed.', job=job)

    def _log_failure(self, failure: Any, job: JobId) -> None:
        # The index entry is removed last, so this or the next holder retries.
        if failure.check(
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
            defer.CancelledError,
        ):
            log.info('Job removal failed.', job=job, cause=str(failure.value))
            return
        log.error(
            'Unexpected error in a job removal.',
            job=job,
            cause=failure.getTraceback(),
        )

    def _finish_removal(self, _: object) -> None:
        self._removing = None
