"""Write one holder's results of a job that several holders share."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core import decoding
from yuccarill.daemon.gateway.jobs import job_store as job_store_module
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import Revision
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.core.jobs.job import JobShare
    from yuccarill.daemon.gateway.jobs.job_store import JobStore
    from yuccarill.daemon.gateway.jobs.job_store import ResultWriter
    from yuccarill.platform.store import Store


def writer(jobs: JobStore, store: Store, job: Job, clock: Any) -> ResultWriter:
    """Return the writer for the results of a job, or of a share of one."""
    if job.share is None:
        return jobs
    return SharedResults(store, job.share, clock)


class Listed(msgspec.Struct, frozen=True, kw_only=True):
    """Count the listed results of a job, in total and by share."""

    total: int = 0
    counts_by_number: dict[int, int] = {}

    def count(self, number: int) -> int:
        return self.counts_by_number.get(number, 0)

    def after(self, number: int, added: int) -> Listed:
        count = self.count(number) + added
        return Listed(
            total=self.total + added,
            counts_by_number={**self.counts_by_number, number: count},
        )


class SharedResults:
    """Append the results of a share to the results of the whole job.

    Each write is conditional on the revision of the job's counts, which
    serializes the writes of several holders.
    """

    def __init__(self, store: Store, share: JobShare, clock: Any) -> None:
        self._store = store
        self._share = share
        self._clock = clock
        self._key = keys.listed(share.job)
        # Last known counts; other holders can have changed them since.
        self._listed = Listed()
        self._revision = store_module.ABSENT

    async def append(
        self,
        job: JobId,
        first: int,
        results: tuple[ItemResult, ...],
        service: ServiceName,
        duty: Revision,
    ) -> None:
        """Write results after the first `first` results of the share.

        Retries until the outcome is known. Raises DutyLost if another
        instance holds the duty, PositionTaken if the share has more results.
        """
        number = self._share.number
        is_unclear = False
        while True:
            listed = self._listed.count(number)
            if is_unclear and listed == first + len(results):
                # An earlier attempt without a reply succeeded.
                return
            if listed > first:
                raise job_store_module.PositionTaken
            try:
                await self._write(results, service, duty)
                return
            except store_module.StoreConflict as conflict:
                self._update_counts(conflict)
                is_written = is_unclear and self._listed.count(
                    number
                ) == first + len(results)
                duty_entry = conflict.entries_by_key.get(keys.duty(service))
                is_held = (
                    duty_entry is not None and duty_entry.revision == duty
                )
                if not is_held and not is_written:
                    raise job_store_module.DutyLost from conflict
            except store_module.StoreRefused:
                await self._pause()
            except store_module.StoreOutcomeUnknown:
                is_unclear = True
                await self._pause()

    async def _write(
        self,
        results: tuple[ItemResult, ...],
        service: ServiceName,
        duty: Revision,
    ) -> None:
        after = self._listed.after(self._share.number, len(results))
        chunk = job_store_module.Chunk(results=results)
        revision = await self._store.transact(
            expected=[
                store_module.Expectation(
                    key=self._key, revision=self._revision
                ),
                store_module.Expectation(
                    key=keys.duty(service), revision=duty
                ),
            ],
            writes=[
                store_module.Write(
                    key=keys.chunk(self._share.job, self._listed.total),
                    value=msgspec.msgpack.encode(chunk),
                ),
                store_module.Write(
                    key=self._key, value=msgspec.msgpack.encode(after)
                ),
            ],
        )
        self._listed, self._revision = after, revision

    def _update_counts(self, conflict: store_module.StoreConflict) -> None:
        entry = conflict.entries_by_key.get(self._key)
        if entry is None:
            self._listed, self._revision = Listed(), store_module.ABSENT
            return
        self._listed = decoding.from_msgpack(entry.value, Listed)
        self._revision = entry.revision

    async def _pause(self) -> None:
        await task.deferLater(self._clock, job_store_module.RETRY_SECONDS)
