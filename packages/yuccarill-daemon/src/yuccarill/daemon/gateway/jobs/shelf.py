"""Keep jobs and their results in memory for those who read them."""

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

# Seconds within which the store has to have known the duty for readers to
# be answered from memory. What was read once may not be missing elsewhere a
# second later; a read of the key for several readers is one call.
READ_AGE = 0.6
# Jobs kept for readers: about 0.6 MB each.
MAX_KEPT = 30


class _KeptJob(NamedTuple):
    """Keep a job and its results."""

    job: Job
    listing: Listing


class Shelf:
    """Answer readers of the jobs that ran here, open or ended."""

    def __init__(self, duty: Duty, clock: Any) -> None:
        self._duty = duty
        self._clock = clock
        # The oldest first.
        self._kept_by_id: dict[JobId, _KeptJob] = {}

    def __contains__(self, job: JobId) -> bool:
        return job in self._kept_by_id

    def keep(self, job: Job, listing: Listing) -> None:
        """Keep a job, and forget the oldest one that has ended."""
        self._kept_by_id[job.id] = _KeptJob(job, listing)
        if len(self._kept_by_id) <= MAX_KEPT:
            return
        for job_id, kept in self._kept_by_id.items():
            if kept.listing.is_stopped:
                del self._kept_by_id[job_id]
                return

    def drop(self, job: JobId) -> None:
        """Answer no more readers of a job from here."""
        self._kept_by_id.pop(job, None)

    async def read_results(
        self, query: ResultsQuery, account: AccountName | None = None
    ) -> bytes | None:
        """Return a job's results, none if the store has to be asked."""
        kept = self._kept(query.job, account)
        if kept is None:
            return None
        found = kept.listing
        deadline = self._now() + query.wait
        while query.first >= len(found.results) < found.total:
            left = deadline - self._now()
            if left <= 0.0 or found.is_stopped:
                break
            await found.wait(left)
        if self._kept_by_id.get(query.job) is not kept:
            # More was listed than was known here.
            return None
        # Without the duty, another instance may have listed more, which a
        # reader may have seen there.
        if not await self._duty.confirm(READ_AGE):
            return None
        # A chunk whose write is under way may stand already, and a reader
        # may have had it elsewhere.
        if found.write_age() > READ_AGE:
            return None
        return result_page.page(found.total, found.results, query.first)

    def read_item(
        self,
        job_id: JobId,
        item_id: ItemId,
        account: AccountName | None = None,
    ) -> bytes | None:
        """Return an item's body, none if the store has to be asked."""
        kept = self._kept(job_id, account)
        if kept is None:
            return None
        for item in kept.job.items:
            if item.id == item_id:
                return item.body
        return None

    def is_of(self, job: JobId, account: AccountName | None) -> bool:
        """Tell whether a kept job belongs to an account."""
        return self._kept(job, account) is not None

    def _kept(
        self, job: JobId, account: AccountName | None
    ) -> _KeptJob | None:
        kept = self._kept_by_id.get(job)
        if kept is None or kept.job.account not in (None, account):
            return None
        return kept

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
