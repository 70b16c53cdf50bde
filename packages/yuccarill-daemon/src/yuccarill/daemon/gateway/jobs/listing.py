"""Append a job's results to the store in a fixed order, in chunks."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon.gateway.duty import lease
from yuccarill.daemon.gateway.jobs import job_store as job_store_module
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.jobs.job_store import ResultWriter

log = logs.for_part('listing')

# Delays for batching results, if the trainer waits for a result and otherwise.
# Longer delays reduce paid writes, but lose more if all instances fail. A step
# of 224 items whose groups were written one by one made 17 writes, of which
# its trainer needed the last.
AWAITED_SECONDS = 0.05
BATCH_SECONDS = 0.6
# Minimum interval of writes of one job.
WRITE_SECONDS = 0.25
# Maximum text of one chunk; a value in the store can have a megabyte.
CHUNK_BYTES = 400 * 1024


class Listing:
    """Append the results of one job to its stored results."""

    def __init__(
        self,
        job: JobId,
        total: int,
        listed: list[ItemResult],
        jobs: ResultWriter,
        duty: Duty,
        clock: Any,
        on_conflict: Callable[[], None],
    ) -> None:
        self._job = job
        self._jobs = jobs
        self._duty = duty
        self._clock = clock
        # Called when the store has results that this instance does not know.
        self._on_conflict = on_conflict
        self.total = total
        # Results in the store, which readers can be shown.
        self.results = list(listed)
        self._waiting_readers: list[defer.Deferred[None]] = []
        self._item_ids = {result.id for result in listed}
        self._pending: list[ItemResult] = []
        self._timer: Any = None
        self._write_at = math.inf
        self._written_at = -math.inf
        self._is_writing = False
        self._began_at = 0.0
        self.is_stopped = False

    def add(self, result: ItemResult, is_awaited: bool) -> None:
        """Schedule the write of a result, early if its trainer waits.

        A second result of the same item is ignored.
        """
        if result.id in self._item_ids:
            return
        self._item_ids.add(result.id)
        self._pending.append(result)
        now = self._clock.seconds()
        seconds = AWAITED_SECONDS if is_awaited else BATCH_SECONDS
        self._write_at = min(self._write_at, now + seconds)
        if self._is_writing:
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._write_later()

    async def wait(self, seconds: float) -> None:
        """Wait until results are written, or for a time in seconds."""
        reader: defer.Deferred[None] = defer.Deferred()
        self._waiting_readers.append(reader)
        timer = self._clock.callLater(seconds, self._wake, reader)
        try:
            await reader
        finally:
            if timer.active():
                timer.cancel()

    def write_age(self) -> float:
        """Return the seconds since the running write began, or 0."""
        if not self._is_writing:
            return 0.0
        age: float = self._clock.seconds() - self._began_at
        return age

    def stop(self) -> None:
        """Start no more writes.

        A running write continues, so that readers here see its results.
        """
        self.is_stopped = True
        self._wake_readers()

    def _wake_readers(self) -> None:
        for reader in list(self._waiting_readers):
            self._wake(reader)

    def _wake(self, reader: defer.Deferred[None]) -> None:
        if reader in self._waiting_readers:
            self._waiting_readers.remove(reader)
        if not reader.called:
            reader.callback(None)

    def _write_later(self) -> None:
        at = max(self._write_at, self._written_at + WRITE_SECONDS)
        remaining = max(0.0, at - self._clock.seconds())
        self._timer = self._clock.callLater(remaining, self._begin_write)

    def _begin_write(self) -> None:
        if self.is_stopped:
            return
        self._is_writing = True
        self._began_at = self._clock.seconds()
        self._write_at = math.inf
        writing = defer.Deferred.fromCoroutine(self._write())
        writing.addErrback(self._log_failure)
        writing.addBoth(self._finish_write)

    async def _write(self) -> None:
        chunk = self._next_chunk()
        if len(chunk) < len(self._pending):
            # The results that did not fit are due as well.
            self._write_at = self._clock.seconds()
        while not await self._append(chunk):
            if self.is_stopped:
                return
            await task.deferLater(self._clock, WRITE_SECONDS)
        log.info(
            'Listed.',
            job=self._job,
            first=len(self.results),
            count=len(chunk),
        )
        self.results += chunk
        del self._pending[: len(chunk)]
        self._wake_readers()

    async def _append(self, chunk: tuple[ItemResult, ...]) -> bool:
        revision = self._duty.revision
        if revision is None:
            return False
        sent_at = lease.seconds_since_boot()
        try:
            await self._jobs.append(
                self._job,
                len(self.results),
                chunk,
                self._duty.service,
                revision,
            )
        except job_store_module.PositionTaken:
            log.error('Position has results; reloading job.', job=self._job)
            self._on_conflict()
            return False
        except job_store_module.DutyLost:
            # The chunk is retried if this process regains the duty. If
            # another process gets the duty, this listing is stopped.
            log.warning('Results not written: duty is lost.', job=self._job)
            self._duty.drop_hold(revision)
            return False
        # The write was conditional on the duty, so it confirms the duty.
        self._duty.record_confirmation(sent_at)
        return True

    def _next_chunk(self) -> tuple[ItemResult, ...]:
        chunk: list[ItemResult] = []
        size = 0
        for result in self._pending:
            size += len(result.text)
            if chunk and size > CHUNK_BYTES:
                break
            chunk.append(result)
        return tuple(chunk)

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Writing results failed.', cause=failure.getTraceback())

    def _finish_write(self, _: object) -> None:
        self._is_writing = False
        self._written_at = self._clock.seconds()
        if self._pending and not self.is_stopped:
            self._write_at = min(
                self._write_at, self._written_at + BATCH_SECONDS
            )
            self._write_later()
