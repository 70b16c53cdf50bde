"""Read jobs from the store, retrying until the store answers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.daemon.gateway.jobs import job_store as job_store_module
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.jobs.job_store import JobStore

log = logs.for_part('runner')

# Seconds before results that cannot be decoded are read again.
INVALID_RETRY_SECONDS = 5.0


class JobReader:
    """Read the jobs that a runner takes over, without a deadline."""

    def __init__(self, jobs: JobStore, clock: Any) -> None:
        self._jobs = jobs
        self._clock = clock

    async def read_job(self, job_id: JobId) -> Job | None:
        """Return a job, or None if it is missing or cannot be decoded."""
        while True:
            try:
                return await self._jobs.read_job(job_id)
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ):
                await self._pause()
            except msgspec.MsgspecError as error:
                log.error('Invalid stored job.', job=job_id, cause=str(error))
                return None

    async def read_results(self, job: Job) -> list[ItemResult]:
        """Return the stored results of a job, ordered by position."""
        results_job = job.id if job.share is None else job.share.job
        ids = {item.id for item in job.items}
        while True:
            try:
                found = await self._jobs.read_results(results_job)
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ):
                await self._pause()
                continue
            except msgspec.MsgspecError as error:
                log.error(
                    'Invalid stored results; reading them again.',
                    job=job.id,
                    cause=str(error),
                )
                await task.deferLater(self._clock, INVALID_RETRY_SECONDS)
                continue
            chunks = sorted(found.chunks_by_position.items())
            return [
                result
                for _, chunk in chunks
                for result in chunk.results
                if result.id in ids
            ]

    async def _pause(self) -> None:
        await task.deferLater(self._clock, job_store_module.RETRY_SECONDS)
