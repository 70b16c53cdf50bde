"""Keep batch jobs and their results in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Revision
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WallTime
from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import Job
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from yuccarill.core.jobs.job import JobId
    from yuccarill.platform.store import Store

# Seconds between tries of a write whose outcome is not known.
RETRY_SECONDS = 0.25
# Keys that one transaction may remove.
MAX_REMOVALS = 32


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what readers need of a job beside its results."""

    service: ServiceName
    total: int
    submitted_at: WallTime
    account: AccountName | None = None


class WorkRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Tell a service's runner of one job."""

    is_ended: bool = False


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """Hold results at consecutive positions."""

    results: tuple[ItemResult, ...]


class StoredResults(msgspec.Struct, kw_only=True):
    """Hold what was read of a job's results."""

    summary: Summary | None = None
    chunks_by_position: dict[int, Chunk] = {}
    # Where to go on reading: the last key and the store's revision at the
    # first page, since pages are no snapshot.
    last_key: str | None = None
    revision: Revision = Revision(0)


class DutyLost(Exception):
    """Report a write under a duty that another instance holds."""


class PositionTaken(Exception):
    """Report a position at which other results are listed."""


class JobStore:
    """Write and read jobs."""

    def __init__(self, store: Store, clock: Any) -> None:
        self._store = store
        self._clock = clock

    async def accept(self, job: Job) -> bool:
        """Write a job once; one that stands already is left as it is.

        Tells whether it was written now. Raises StoreRefused if the store
        did nothing, StoreUnclear if the job may stand.
        """
        summary = Summary(
            service=job.service,
            total=len(job.items),
            submitted_at=job.submitted_at,
            account=job.account,
        )
        spec_key = keys.job_spec(job.id)
        try:
            await self._store.transact(
                expected=[
                    store_module.Expectation(
                        key=spec_key, revision=store_module.ABSENT
                    )
                ],
                writes=[
                    store_module.Write(
                        key=spec_key, value=msgspec.msgpack.encode(job)
                    ),
                    store_module.Write(
                        key=keys.summary(job.id),
                        value=msgspec.msgpack.encode(summary),
                    ),
                    _work(job.service, job.id, WorkRecord()),
                ],
            )
        except store_module.StoreConflict:
            # An earlier try of the same submission was carried out.
            return False
        return True

    async def read_job(self, job: JobId) -> Job | None:
        """Return a job's content."""
        entry = await self._store.get(keys.job_spec(job))
        return None if entry is None else decode_job(entry.value)

    async def read_results(
        self, job: JobId, after: str | None = None
    ) -> StoredResults:
        """Return a job's summary and the results after a key."""
        found = StoredResults()
        has_more = True
        while has_more:
            page = await self._store.page(keys.results(job), after)
            _collect(found, job, page)
            after = found.last_key
            has_more = page.has_more
        return found

    async def watch_results(
        self, job: JobId, after: Revision, seconds: float
    ) -> StoredResults:
        """Wait for results that are written after a revision.

        Raises HistoryGone.
        """
        page = await self._store.watch(keys.results(job), after, seconds)
        found = StoredResults()
        _collect(found, job, page)
        return found

    async def append(
        self,
        job: JobId,
        first: int,
        results: tuple[ItemResult, ...],
        service: ServiceName,
        duty: Revision,
    ) -> None:
        """Write results at their positions, under a duty.

        Retries until the outcome is known. Raises DutyLost if another
        instance holds the duty by now, PositionTaken if other results are
        listed there though the duty is held.
        """
        key = keys.chunk(job, first)
        value = msgspec.msgpack.encode(Chunk(results=results))
        expected = [
            store_module.Expectation(key=key, revision=store_module.ABSENT),
            store_module.Expectation(key=keys.duty(service), revision=duty),
        ]
        write = store_module.Write(key=key, value=value)
        while True:
            try:
                await self._store.transact(expected, [write])
                return
            except store_module.StoreConflict as conflict:
                written = conflict.entries_by_key.get(key)
                # A try without an answer was carried out after all.
                if written is not None and written.value == value:
                    return
                holding = conflict.entries_by_key.get(keys.duty(service))
                if holding is not None and holding.revision == duty:
                    raise PositionTaken from conflict
                raise DutyLost from conflict
            except (store_module.StoreRefused, store_module.StoreUnclear):
                await task.deferLater(self._clock, RETRY_SECONDS)

    async def end(self, service: ServiceName, job: JobId) -> None:
        """Write that a trainer has ended a job."""
        record = WorkRecord(is_ended=True)
        await self._store.transact(writes=[_work(service, job, record)])

    async def remove(
        self, service: ServiceName, job: JobId, positions: Iterable[int]
    ) -> None:
        """Remove a job that nobody may read any more, its index last."""
        content = [keys.job_spec(job), keys.summary(job)]
        content += [keys.chunk(job, position) for position in positions]
        for first in range(0, len(content), MAX_REMOVALS):
            some = content[first : first + MAX_REMOVALS]
            await self._store.transact(removals=some)
        await self._store.transact(removals=[keys.work(service, job)])


def _collect(
    found: StoredResults, job: JobId, page: store_module.Page
) -> None:
    found.revision = found.revision or page.revision
    for entry in page.changes:
        if isinstance(entry, store_module.Removal):
            continue
        found.last_key = entry.key
        position = keys.position_of(job, entry.key)
        if position is None:
            found.summary = msgspec.msgpack.decode(entry.value, type=Summary)
        else:
            chunk = msgspec.msgpack.decode(entry.value, type=Chunk)
            found.chunks_by_position[position] = chunk


def _work(
    service: ServiceName, job: JobId, record: WorkRecord
) -> store_module.Write:
    return store_module.Write(
        key=keys.work(service, job), value=msgspec.msgpack.encode(record)
    )


def decode_work(value: bytes) -> WorkRecord:
    """Decode what stands of a job; raises MsgspecError."""
    return msgspec.msgpack.decode(value, type=WorkRecord)


def decode_job(value: bytes) -> Job:
    """Decode a job's content; raises MsgspecError."""
    return msgspec.msgpack.decode(value, type=Job)
