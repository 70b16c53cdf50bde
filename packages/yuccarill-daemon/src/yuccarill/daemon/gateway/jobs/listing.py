"""List a job's results in a fixed order, in chunks."""

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

# Seconds that results are collected before they are written together, when
# a trainer waits for one of them and when it does not. Each write is paid
# for; a step of 224 items that was written with each whole group made 17,
# of which its trainer needed the last. What is not written yet is copied to
# the next holder as texts are; a loss of all instances takes it, so it must
# not be much.
AWAITED_SECONDS = 0.05
COLLECT_SECONDS = 0.6
# Seconds between two writes of one job at least.
WRITE_SECONDS = 0.25
# Bytes of text in one chunk; a value of the store holds a megabyte.
CHUNK_BYTES = 400 * 1024


class Listing:
    """Write one job's results behind those that are listed."""

    def __init__(
        self,
        job: JobId,
        total: int,
        known: list[ItemResult],
        jobs: ResultWriter,
        duty: Duty,
        clock: Any,
        on_taken: Callable[[], None],
    ) -> None:
        self._job = job
        self._jobs = jobs
        self._duty = duty
        self._clock = clock
        # Called when more is listed than this instance knows.
        self._on_taken = on_taken
        self.total = total
        # What readers may be told of: it stands in the store.
        self.results = list(known)
        self._readers: list[defer.Deferred[None]] = []
        self._ids = {result.id for result in known}
        self._pending: list[ItemResult] = []
        self._timer: Any = None
        self._write_at = math.inf
        self._written_at = -math.inf
        self._is_writing = False
        self._began_at = 0.0
        self.is_stopped = False

    def add(self, result: ItemResult, is_awaited: bool) -> None:
        """List a result, at once if its trainer waits for it.

        An item is listed once.
        """
        if result.id in self._ids:
            return
        self._ids.add(result.id)
        self._pending.append(result)
        now = self._clock.seconds()
        seconds = AWAITED_SECONDS if is_awaited else COLLECT_SECONDS
        self._write_at = min(self._write_at, now + seconds)
        if self._is_writing:
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._write_later()

    async def wait(self, seconds: float) -> None:
        """Wait until something is listed, or for a time."""
        reader: defer.Deferred[None] = defer.Deferred()
        self._readers.append(reader)
        timer = self._clock.callLater(seconds, self._wake, reader)
        try:
            await reader
        finally:
            if timer.active():
                timer.cancel()

    def write_age(self) -> float:
        """Return the seconds that a write has been under way, or 0."""
        if not self._is_writing:
            return 0.0
        age: float = self._clock.seconds() - self._began_at
        return age

    def stop(self) -> None:
        """Write nothing more.

        A write under way goes on: what it lists is read here as well.
        """
        self.is_stopped = True
        self._wake_readers()

    def _wake_readers(self) -> None:
        for reader in list(self._readers):
            self._wake(reader)

    def _wake(self, reader: defer.Deferred[None]) -> None:
        if reader in self._readers:
            self._readers.remove(reader)
        if not reader.called:
            reader.callback(None)

    def _write_later(self) -> None:
        at = max(self._write_at, self._written_at + WRITE_SECONDS)
        left = max(0.0, at - self._clock.seconds())
        self._timer = self._clock.callLater(left, self._begin_write)

    def _begin_write(self) -> None:
        if self.is_stopped:
            return
        self._is_writing = True
        self._began_at = self._clock.seconds()
        self._write_at = math.inf
        writing = defer.Deferred.fromCoroutine(self._write())
        writing.addErrback(self._failed)
        writing.addBoth(self._ended)

    async def _write(self) -> None:
        chunk = self._next_chunk()
        if len(chunk) < len(self._pending):
            # What did not fit is due as well.
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
        sent_at = lease.boot_time()
        try:
            await self._jobs.append(
                self._job,
                len(self.results),
                chunk,
                self._duty.service,
                revision,
            )
        except job_store_module.PositionTaken:
            log.error('Position taken; read again.', job=self._job)
            self._on_taken()
            return False
        except job_store_module.DutyLost:
            # Without the lease nothing is listed here. The same chunk is
            # tried again if this process gets the duty back; if another
            # one gets it, this listing is stopped.
            log.warning('Not listed: the duty is lost.', job=self._job)
            self._duty.give_up(revision)
            return False
        # Its condition was that the store knows the duty.
        self._duty.confirm_from(sent_at)
        return True

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
        if not failure.check(defer.CancelledError):
            log.error('Listing failed.', cause=failure.getTraceback())

    def _ended(self, _: object) -> None:
        self._is_writing = False
        self._written_at = self._clock.seconds()
        if self._pending and not self.is_stopped:
            self._write_at = min(
                self._write_at, self._written_at + COLLECT_SECONDS
            )
            self._write_later()
