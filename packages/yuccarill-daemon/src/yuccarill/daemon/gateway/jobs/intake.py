"""Accept batch jobs from trainers and serve their results."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.gateway import requests
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WallTime
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs import shares as shares_module
from yuccarill.daemon.gateway.jobs import result_page
from yuccarill.daemon.gateway.requests import relay as relay_module
from yuccarill.daemon import logs
from yuccarill.platform import jobs as wire_jobs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.routes import Route
    from yuccarill.core.ids import AccountName
    from yuccarill.core.ids import Revision
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.daemon.gateway.jobs.job_store import JobStore
    from yuccarill.daemon.gateway.jobs.job_store import StoredResults
    from yuccarill.daemon.gateway.jobs.job_store import Summary
    from yuccarill.daemon.gateway.jobs.runner import Runner
    from yuccarill.daemon.gateway.requests.relay import Relay
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.ports import ResultsQuery

log = logs.for_part('jobs')

# Fraction of the client's timeout for which storing a job is retried while
# the store is unavailable. Other instances use the same store, so an early
# refusal would only use up the client's retry.
ACCEPT_TIME_FRACTION = 0.75
RETRY_SECONDS = 0.2
# Interval of checks whether the partitions of a service are known.
PARTITION_POLL_SECONDS = 0.05
# Deadline for a peer that stores a job on behalf of this instance.
RELAY_SECONDS = 2.0
# Retry period for a relayed submission; its sender then tries other peers.
RELAYED_RETRY_SECONDS = 1.0
# Seconds of the Retry-After header while the store is unavailable.
RETRY_AFTER = 1.0
# Jobs whose results, and jobs whose item bodies, are cached for readers.
CACHED_JOBS = 24
CACHED_ITEM_BODIES = 3
# Seconds from a job's submission, where its route configures no times.
DEFAULT_DUE = 30.0
DEFAULT_RETENTION = 60.0
_ACCEPTED = TargetAnswer(status=202, headers=(), body=b'', signature=None)


@dataclasses.dataclass
class JobView:
    """Cache the results of one job that were read from the store."""

    job: JobId
    summary: Summary
    results: list[ItemResult]
    # Key of the last chunk read; the next read starts after this key.
    last_key: str
    revision: Revision

    @property
    def is_whole(self) -> bool:
        return len(self.results) >= self.summary.total

    def add_chunks(self, found: StoredResults) -> None:
        """Append the chunks that follow the results read so far."""
        # Concurrent readers of one job can read the same chunk.
        for position, chunk in sorted(found.chunks_by_position.items()):
            if position == len(self.results):
                self.results += chunk.results
                self.last_key = keys.chunk(self.job, position)
        self.revision = max(self.revision, found.revision)


class Intake:
    """Serve trainers' calls about jobs from the store."""

    def __init__(
        self,
        state: GatewayState,
        store: JobStore,
        relay: Relay,
        runners_by_service: Mapping[ServiceName, Runner],
        clock: Any,
    ) -> None:
        self._state = state
        self._store = store
        self._relay = relay
        self._runners_by_service = runners_by_service
        self._clock = clock
        self._views_by_id: collections.OrderedDict[JobId, JobView] = (
            collections.OrderedDict()
        )
        self._jobs_by_id: collections.OrderedDict[JobId, Job] = (
            collections.OrderedDict()
        )

    async def submit(
        self, route: Route, request: ClientRequest
    ) -> TargetAnswer:
        """Store a job and return the acceptance.

        Raises RequestError, NotRun if the job was not stored and never will
        be, or OutcomeUnknown.
        """
        if request.method != 'POST':
            raise errors.WrongMethod('Batch jobs are submitted by POST.')
        await self._wait_for_partitions(route, request)
        job = self._job_from_request(route, request)
        runner = self._runners_by_service.get(job.service)
        may_be_stored = False
        if runner is None and not relay_module.is_relayed(request):
            # The holder gets a relayed job without reading the store.
            holder = self._relay.holder_of_part(job.service)
            if holder is not None:
                answer = await self._relay.send(holder, request, RELAY_SECONDS)
                if answer is not None and answer.status == 202:
                    return _ACCEPTED
                may_be_stored = relay_module.may_have_run(answer)
        give_up_at = requests.time_limit(route, request)
        if self._state.stop_window is not None:
            stopped_at = self._state.stop_window.answers_until
            give_up_at = min(give_up_at, stopped_at)
        remaining = give_up_at - self._clock.seconds()
        retry_seconds = ACCEPT_TIME_FRACTION * remaining
        if relay_module.is_relayed(request):
            retry_seconds = RELAYED_RETRY_SECONDS
        retry_until = Instant(self._clock.seconds() + retry_seconds)
        shares = self._shares(job)
        is_new = await self._store_job(
            job, shares, request, retry_until, may_be_stored
        )
        log.info(
            'Job accepted.',
            request=request.id,
            service=job.service,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            configuration=job.accepted_version,
        )
        # A job stored earlier can have results, which its runner reads.
        if is_new:
            self._offer(shares or (job,))
        return _ACCEPTED

    def _shares(self, job: Job) -> tuple[Job, ...]:
        division = self._state.division(job.service)
        if not division.is_by_items:
            return ()
        return shares_module.divide(job, division.parts)

    def _offer(self, jobs: Iterable[Job]) -> None:
        for job in jobs:
            runner = self._runners_by_service.get(job.service)
            if runner is not None:
                runner.add_job(job)

    async def read_results(
        self, query: ResultsQuery, account: AccountName | None = None
    ) -> bytes:
        """Return results from a position on, waiting for the first.

        Raises UnknownStep if there is no such job, StoreUnavailable if the
        store cannot be read.
        """
        deadline = Instant(self._clock.seconds() + query.wait)
        try:
            view = await self._view(query)
            _check_owner(view.summary.account, account)
            while len(view.results) <= query.first and not view.is_whole:
                remaining = deadline - self._clock.seconds()
                if remaining <= 0.0:
                    break
                view.add_chunks(
                    await self._store.watch_results(
                        query.job, view.revision, remaining
                    )
                )
        except store_module.HistoryGone:
            # The next request of the reader reloads the view.
            self._views_by_id.pop(query.job, None)
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            raise errors.StoreUnavailable(
                f'The results cannot be read now: {error}.', RETRY_AFTER
            ) from error
        return result_page.page(view.summary.total, view.results, query.first)

    async def read_item(
        self,
        job_id: JobId,
        item_id: ItemId,
        account: AccountName | None = None,
    ) -> bytes:
        """Return the body of one item.

        Raises UnknownStep if there is no such item, StoreUnavailable if the
        store cannot be read.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            try:
                job = await self._store.read_whole(job_id)
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                raise errors.StoreUnavailable(
                    f'The job cannot be read now: {error}.', RETRY_AFTER
                ) from error
        if job is None:
            raise errors.UnknownStep('There is no such batch job.')
        _check_owner(job.account, account)
        self._jobs_by_id[job_id] = job
        if len(self._jobs_by_id) > CACHED_ITEM_BODIES:
            self._jobs_by_id.popitem(last=False)
        for item in job.items:
            if item.id == item_id:
                return item.body
        raise errors.UnknownStep('There is no such item.')

    async def end_job(
        self,
        job_id: JobId,
        service: ServiceName | None,
        account: AccountName | None = None,
    ) -> None:
        """End a job, looking up its service if none is given.

        Raises UnknownStep if there is no such job, StoreUnavailable if the
        end was not written, OutcomeUnknown if it may have been.
        """
        service, shares = await self._find_holders(job_id, service, account)
        try:
            await self._store.end(service, job_id, shares)
        except store_module.StoreRefused as error:
            raise _end_failed(error) from error
        except store_module.StoreOutcomeUnknown as error:
            raise errors.OutcomeUnknown(
                f'The job may have been ended: {error}.'
            ) from error
        log.info('Job ended by its trainer.', job=job_id)

    async def _find_holders(
        self,
        job_id: JobId,
        service: ServiceName | None,
        account: AccountName | None,
    ) -> tuple[ServiceName, tuple[tuple[ServiceName, JobId], ...]]:
        """Return the service and the shares of a job."""
        if service is not None:
            return service, ()
        try:
            view = self._views_by_id.get(job_id) or await self._load(job_id)
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            raise _end_failed(error) from error
        _check_owner(view.summary.account, account)
        return view.summary.service, view.summary.shares

    async def _wait_for_partitions(
        self, route: Route, request: ClientRequest
    ) -> None:
        """Wait until the partitions of a route's service are known.

        A starting instance reads its routes first. A job stored for a
        partition that does not exist would never run. Raises NotRun if the
        client's timeout is nearly over.
        """
        give_up_at = requests.time_limit(route, request)
        for service in route.services[:1]:
            while service not in self._state.divisions_by_service:
                if self._clock.seconds() >= give_up_at - RETRY_SECONDS:
                    raise errors.NotRun(
                        'The job was not stored: partitions are unknown.',
                        RETRY_AFTER,
                    )
                await task.deferLater(self._clock, PARTITION_POLL_SECONDS)

    def _job_from_request(self, route: Route, request: ClientRequest) -> Job:
        submitted = wire_jobs.submission(
            request.body, has_account=request.account is not None
        )
        if not route.services:
            raise errors.NoTarget('The route has no service.', RETRY_AFTER)
        table = self._state.route_table
        now = WallTime(time.time())
        due_after = route.due_after or DEFAULT_DUE
        retention = route.retention or DEFAULT_RETENTION
        return Job(
            id=JobId(request.id),
            service=self._state.part_of(route.services[0], submitted.model),
            host=request.host,
            route=route.name,
            account=request.account,
            step=submitted.step,
            model=submitted.model,
            min_version=submitted.min_version,
            wanted_groups=submitted.wanted_groups,
            is_single_version=route.is_single_version,
            max_attempts=route.max_attempts,
            accepted_version=0 if table is None else table.version,
            submitted_at=now,
            due_at=WallTime(now + due_after),
            retained_until=WallTime(now + retention),
            items=submitted.items,
        )

    async def _store_job(
        self,
        job: Job,
        shares: tuple[Job, ...],
        request: ClientRequest,
        retry_until: Instant,
        may_be_stored: bool,
    ) -> bool:
        """Store a job and return whether this call created it.

        `may_be_stored` tells whether an earlier call may have stored it.
        """
        while True:
            try:
                return await self._store.accept(job, shares)
            except store_module.StoreRefused as error:
                cause: Exception = error
            except store_module.StoreOutcomeUnknown as error:
                may_be_stored = True
                cause = error
            if not relay_module.is_relayed(request):
                answer = await self._submit_by_peer(request)
                if answer is not None and answer.status == 202:
                    return False
                if relay_module.may_have_run(answer):
                    may_be_stored = True
            if self._clock.seconds() >= retry_until:
                break
            await task.deferLater(self._clock, RETRY_SECONDS)
        if may_be_stored:
            # A write without a reply can still take effect, so the job must
            # not be reported as not run.
            raise errors.OutcomeUnknown(
                f'The job may have been stored: {cause}.'
            )
        raise errors.NotRun(f'The job was not stored: {cause}.', RETRY_AFTER)

    async def _submit_by_peer(
        self, request: ClientRequest
    ) -> TargetAnswer | None:
        """Submit through a peer; return None if it gave no answer."""
        peer = self._relay.peer()
        if peer is None:
            return relay_module.NOT_SENT
        return await self._relay.send(peer, request, RELAY_SECONDS)

    async def _view(self, query: ResultsQuery) -> JobView:
        view = self._views_by_id.get(query.job)
        if view is None:
            return await self._load(query.job)
        self._views_by_id.move_to_end(query.job)
        if len(view.results) <= query.first and not view.is_whole:
            await self._refresh(query.job, view)
        return view

    async def _load(self, job_id: JobId) -> JobView:
        found = await self._store.read_results(job_id)
        if found.summary is None:
            raise errors.UnknownStep('There is no such batch job.')
        view = JobView(
            job=job_id,
            summary=found.summary,
            results=[],
            last_key=keys.summary(job_id),
            revision=found.revision,
        )
        view.add_chunks(found)
        self._views_by_id[job_id] = view
        if len(self._views_by_id) > CACHED_JOBS:
            self._views_by_id.popitem(last=False)
        return view

    async def _refresh(self, job_id: JobId, view: JobView) -> None:
        view.add_chunks(await self._store.read_results(job_id, view.last_key))


def _end_failed(error: Exception) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'Ending the job failed: {error}.', RETRY_AFTER
    )


def _check_owner(
    owner: AccountName | None, account: AccountName | None
) -> None:
    # Answered as not found, to reveal nothing about jobs of other accounts.
    if owner is not None and owner != account:
        raise errors.UnknownStep('There is no such batch job.')
