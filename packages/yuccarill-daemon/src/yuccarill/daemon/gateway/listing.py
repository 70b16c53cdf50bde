"""List a job's results in a fixed order, in chunks."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon.gateway import job_store as job_store_module
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.duties import Duty
    from yuccarill.daemon.gateway.job_store import JobStore

log = logs.for_part('listing')

# Seconds that results are collected before they are written together. A
# trainer reads twice a second, and each write is paid for.
COLLECT_SECONDS = 0.25
# Bytes of text in one chunk; a value of the store holds a megabyte.
CHUNK_BYTES = 400 * 1024


class Listing:
    """Write one job's results behind those that are listed."""

    def __init__(
        self,
        job: JobId,
        known: list[ItemResult],
        jobs: JobStore,
        duty: Duty,
        clock: Any,
    ) -> None:
        self._job = job
        self._jobs = jobs
        self._duty = duty
        self._clock = clock
        self._listed = len(known)
        self._ids = {result.id for result in known}
        self._pending: list[ItemResult] = []
        self._writing: defer.Deferred[None] | None = None
        self._is_stopped = False

    def add(self, result: ItemResult) -> None:
        """List a result soon; an item is listed once."""
        if result.id in self._ids:
            return
        self._ids.add(result.id)
        self._pending.append(result)
        if self._writing is None:
            self._write_soon()

    def stop(self) -> None:
        """Write nothing more."""
        self._is_stopped = True
        if self._writing is not None:
            self._writing.cancel()

    def _write_soon(self) -> None:
        self._writing = defer.Deferred.fromCoroutine(self._write())
        self._writing.addErrback(self._failed)
        self._writing.addBoth(self._written)

    async def _write(self) -> None:
        await task.deferLater(self._clock, COLLECT_SECONDS)
        chunk = self._next_chunk()
        revision = self._duty.revision
        while revision is None:
            await task.deferLater(self._clock, COLLECT_SECONDS)
            revision = self._duty.revision
        await self._jobs.append(
            self._job, self._listed, chunk, self._duty.service, revision
        )
        log.info(
            'Listed.', job=self._job, first=self._listed, count=len(chunk)
        )
        self._listed += len(chunk)
        del self._pending[: len(chunk)]

    def _next_chunk(self) -> tuple[ItemResult, ...]:
        taken: list[ItemResult] = []
        size = 0
        for result in self._pending:
            size += len(result.text)
            if taken and size > CHUNK_BYTES:
                break
            taken.append(result)
        return tuple(taken)

    def _failed(self, failure: Any) -> None:
        if failure.check(defer.CancelledError):
            return
        # Whoever holds the duty now lists what it has itself.
        if failure.check(job_store_module.DutyLost):
            log.warning('Not listed: the duty is lost.', job=self._job)
            self._is_stopped = True
            return
        log.error('Listing failed.', cause=failure.getTraceback())

    def _written(self, _: object) -> None:
        self._writing = None
        if self._pending and not self._is_stopped:
            self._write_soon()
