"""Write batch jobs and their results to the store, and read them."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core import decoding
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Revision
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WallTime
from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from typing import Any

    from yuccarill.core.jobs.job import Item
    from yuccarill.platform.store import Store

# Interval of retries of a write whose outcome is unknown.
RETRY_SECONDS = 0.25
# Maximum keys removed in one transaction.
MAX_REMOVALS = 32


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a job for readers of its results."""

    service: ServiceName
    total: int
    submitted_at: WallTime
    account: AccountName | None = None
    # Partitions that run a shared job, and the id of each share.
    shares: tuple[tuple[ServiceName, JobId], ...] = ()


class WorkRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Announce one job to the runner of its service."""

    is_ended: bool = False


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """Hold results at consecutive positions."""

    results: tuple[ItemResult, ...]


class StoredResults(msgspec.Struct, kw_only=True):
    """Hold the summary and result chunks read for one job."""

    summary: Summary | None = None
    chunks_by_position: dict[int, Chunk] = {}
    # Where the next read starts: the last key, and the store's revision at
    # the first page, because pages are not one snapshot.
    last_key: str | None = None
    revision: Revision = Revision(0)


class DutyLost(Exception):
    """Signal a write under a duty that another instance holds now."""


class PositionTaken(Exception):
    """Signal a write at a position that already has other results."""


class ResultWriter(Protocol):
    """Write the results of one job."""

    async def append(
        self,
        job: JobId,
        first: int,
        results: tuple[ItemResult, ...],
        service: ServiceName,
        duty: Revision,
    ) -> None:
        """Write results from position `first` on, under a duty."""
        ...


class JobStore:
    """Write, read and remove batch jobs."""

    def __init__(self, store: Store, clock: Any) -> None:
        self._store = store
        self._clock = clock

    async def accept(self, job: Job, shares: tuple[Job, ...] = ()) -> bool:
        """Write a job, or its shares, unless it exists; return if it is new.

        Raises StoreRefused if the store did nothing, StoreOutcomeUnknown if
        the job was possibly written.
        """
        summary = Summary(
            service=job.service,
            total=len(job.items),
            submitted_at=job.submitted_at,
            account=job.account,
            shares=tuple((share.service, share.id) for share in shares),
        )
        summary_key = keys.summary(job.id)
        parts = shares or (job,)
        first_key = summary_key if shares else keys.job_spec(job.id)
        try:
            await self._store.transact(
                expected=[
                    store_module.Expectation(
                        key=first_key, revision=store_module.ABSENT
                    )
                ],
                writes=[
                    store_module.Write(
                        key=summary_key, value=msgspec.msgpack.encode(summary)
                    ),
                    *(write for part in parts for write in _job_writes(part)),
                ],
            )
        except store_module.StoreConflict:
            # An earlier attempt of the same submission succeeded.
            return False
        return True

    async def read_job(self, job: JobId) -> Job | None:
        """Return a job, or a share of one, by its id."""
        entry = await self._store.get(keys.job_spec(job))
        return None if entry is None else decode_job(entry.value)

    async def read_whole(self, job: JobId) -> Job | None:
        """Return a job, assembled from its shares if it is a shared job."""
        found = await self.read_job(job)
        if found is not None:
            return found
        entry = await self._store.get(keys.summary(job))
        if entry is None:
            return None
        summary = decoding.from_msgpack(entry.value, Summary)
        items: list[Item] = []
        for _, share_id in summary.shares:
            share = await self.read_job(share_id)
            if share is not None:
                found = share
                items += share.items
        if found is None:
            return None
        return msgspec.structs.replace(
            found, id=job, items=tuple(items), share=None
        )

    async def read_results(
        self, job: JobId, after: str | None = None
    ) -> StoredResults:
        """Return a job's summary and its results stored after a key."""
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

        Raises HistoryGone if the store no longer has that revision.
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
        """Write results from position `first` on, under a duty.

        Retries until the outcome is known. Raises DutyLost if another
        instance holds the duty, PositionTaken if the duty is held but the
        position already has other results.
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
                # An earlier attempt without a reply succeeded.
                if written is not None and written.value == value:
                    return
                duty_entry = conflict.entries_by_key.get(keys.duty(service))
                if duty_entry is not None and duty_entry.revision == duty:
                    raise PositionTaken from conflict
                raise DutyLost from conflict
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ):
                await task.deferLater(self._clock, RETRY_SECONDS)

    async def end(
        self,
        service: ServiceName,
        job: JobId,
        shares: tuple[tuple[ServiceName, JobId], ...] = (),
    ) -> None:
        """Mark a job, or all its shares, as ended."""
        record = WorkRecord(is_ended=True)
        parts = shares or ((service, job),)
        await self._store.transact(
            writes=[
                _work_write(part, job_id, record) for part, job_id in parts
            ]
        )

    async def remove(self, service: ServiceName, job: JobId) -> None:
        """Remove a job and its results, the index entry last.

        Removing any share of a shared job also removes the job's results.
        """
        spec = await self.read_job(job)
        share = None if spec is None else spec.share
        results_job = job if share is None else share.job
        found = await self.read_results(results_job)
        content = [
            keys.chunk(results_job, position)
            for position in found.chunks_by_position
        ]
        content += [keys.summary(results_job), keys.listed(results_job)]
        content.append(keys.job_spec(job))
        for first in range(0, len(content), MAX_REMOVALS):
            batch = content[first : first + MAX_REMOVALS]
            await self._store.transact(removals=batch)
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
            found.summary = decoding.from_msgpack(entry.value, Summary)
        else:
            chunk = decoding.from_msgpack(entry.value, Chunk)
            found.chunks_by_position[position] = chunk


def _job_writes(job: Job) -> tuple[store_module.Write, store_module.Write]:
    return (
        store_module.Write(
            key=keys.job_spec(job.id), value=msgspec.msgpack.encode(job)
        ),
        _work_write(job.service, job.id, WorkRecord()),
    )


def _work_write(
    service: ServiceName, job: JobId, record: WorkRecord
) -> store_module.Write:
    return store_module.Write(
        key=keys.work(service, job), value=msgspec.msgpack.encode(record)
    )


def decode_work(value: bytes) -> WorkRecord:
    """Decode the work record of a job; raises MsgspecError."""
    return decoding.from_msgpack(value, WorkRecord)


def decode_job(value: bytes) -> Job:
    """Decode a job; raises MsgspecError."""
    return decoding.from_msgpack(value, Job)
