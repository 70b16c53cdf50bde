"""Remove jobs from the store once nobody may read them any more."""

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

# Seconds beyond the time for which a job has to be readable.
SLACK_SECONDS = 30.0


class Cleaner:
    """Remember when jobs ended, and remove them later.

    After a change of the holder the times count from when the new one saw
    that a job had ended, so that none is removed too soon.
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

    def ended(self, job: JobId) -> None:
        """Note that a job has ended."""
        at = self._clock.seconds() + self._retention + SLACK_SECONDS
        self._remove_at_by_job.setdefault(job, Instant(at))

    def update(self) -> None:
        """Remove the next job whose time is over."""
        now = self._clock.seconds()
        if self._removing is not None:
            return
        for job, at in self._remove_at_by_job.items():
            if now >= at:
                self._removing = defer.Deferred.fromCoroutine(
                    self._remove(job)
                )
                self._removing.addErrback(self._failed, job)
                self._removing.addBoth(self._removed)
                return

    async def _remove(self, job: JobId) -> None:
        await self._jobs.remove(self._service, job)
        del self._remove_at_by_job[job]
        log.info('Job removed.', job=job)

    def _failed(self, failure: Any, job: JobId) -> None:
        failure.trap(store_module.StoreRefused, store_module.StoreUnclear)
        # The index stands until the rest is gone, so it is tried again.
        log.info('Job not removed yet.', job=job, cause=str(failure.value))

    def _removed(self, _: object) -> None:
        self._removing = None
