"""Cache jobs and their results in memory for readers."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway.jobs import result_page

if TYPE_CHECKING:
    from yuccarill.core.ids import AccountName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.jobs.listing import Listing
    from yuccarill.platform.ports import ResultsQuery

# Maximum age of the store's last confirmation of the duty, and of a running
# write, for an answer from memory. Guards against answers that lack results
# which another instance has already shown.
MAX_CONFIRMATION_AGE_SECONDS = 0.6
# Maximum cached jobs, unless more are open.
MAX_JOBS = 30


class _CachedJob(NamedTuple):
    """Hold a job and its results."""

    job: Job
    listing: Listing


class JobCache:
    """Serve one runner's open and ended jobs from memory."""

    def __init__(self, duty: Duty, clock: Any) -> None:
        self._duty = duty
        self._clock = clock
        # Ordered by insertion, oldest first.
        self._cached_by_id: dict[JobId, _CachedJob] = {}

    def __contains__(self, job: JobId) -> bool:
        return job in self._cached_by_id

    def add(self, job: Job, listing: Listing) -> None:
        """Add a job; if the cache is full, evict the oldest ended one."""
        self._cached_by_id[job.id] = _CachedJob(job, listing)
        if len(self._cached_by_id) <= MAX_JOBS:
            return
        for job_id, cached in self._cached_by_id.items():
            if cached.listing.is_stopped:
                del self._cached_by_id[job_id]
                return

    def remove(self, job: JobId) -> None:
        """Remove a job from the cache."""
        self._cached_by_id.pop(job, None)

    async def read_results(
        self, query: ResultsQuery, account: AccountName | None = None
    ) -> bytes | None:
        """Return a page of results, or None if the store must be read."""
        cached = self._find(query.job, account)
        if cached is None:
            return None
        listing = cached.listing
        deadline = self._now() + query.wait
        while query.first >= len(listing.results) < listing.total:
            remaining = deadline - self._now()
            if remaining <= 0.0 or listing.is_stopped:
                break
            await listing.wait(remaining)
        if self._cached_by_id.get(query.job) is not cached:
            # The store had more results than this instance knew.
            return None
        # Without the duty, another instance can have listed, and shown to the
        # reader, more results.
        if not await self._duty.confirm(MAX_CONFIRMATION_AGE_SECONDS):
            return None
        # A chunk without a reply from the store can be stored already, and
        # another instance can have shown the chunk to the reader.
        if listing.write_age() > MAX_CONFIRMATION_AGE_SECONDS:
            return None
        return result_page.page(listing.total, listing.results, query.first)

    def read_item(
        self,
        job_id: JobId,
        item_id: ItemId,
        account: AccountName | None = None,
    ) -> bytes | None:
        """Return an item's body, or None if the store must be read."""
        cached = self._find(job_id, account)
        if cached is None:
            return None
        for item in cached.job.items:
            if item.id == item_id:
                return item.body
        return None

    def is_of(self, job: JobId, account: AccountName | None) -> bool:
        """Return whether a cached job is readable by an account."""
        return self._find(job, account) is not None

    def _find(
        self, job: JobId, account: AccountName | None
    ) -> _CachedJob | None:
        cached = self._cached_by_id.get(job)
        if cached is None or cached.job.account not in (None, account):
            return None
        return cached

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
