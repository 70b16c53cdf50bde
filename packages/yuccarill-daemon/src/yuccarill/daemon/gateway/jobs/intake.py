"""Accept trainers' batch jobs and answer what they ask of them."""

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

# Part of the time that a trainer waits for which an acceptance is tried
# while the store is away. A refusal sends the trainer to another instance
# before the same store, and it comes back only once.
ACCEPT_PART = 0.75
RETRY_SECONDS = 0.2
# Seconds between looks whether a service's division is known.
DIVISION_SECONDS = 0.05
# Seconds that a peer may take to store a job in this instance's place.
RELAY_SECONDS = 2.0
# Seconds that a relayed submission is tried; its sender tries others then.
RELAYED_TRY_SECONDS = 1.0
# Seconds after which a trainer may come back when the store is away.
RETRY_AFTER = 1.0
# Jobs whose results are kept in memory for readers.
CACHED_JOBS = 24
CACHED_BODIES = 3
# From a job's submission until its results are due, where its route names
# no time.
DEFAULT_DUE = 30.0
DEFAULT_RETENTION = 60.0
_ACCEPTED = TargetAnswer(status=202, headers=(), body=b'', signature=None)
_REFUSED = TargetAnswer(status=503, headers=(), body=b'', signature=None)


@dataclasses.dataclass
class JobView:
    """Hold what this instance has read of one job."""

    job: JobId
    summary: Summary
    results: list[ItemResult]
    # The last chunk that was taken; reading goes on after it.
    last_key: str
    revision: Revision

    @property
    def is_whole(self) -> bool:
        return len(self.results) >= self.summary.total

    def take(self, found: StoredResults) -> None:
        """Add the results that follow those already here."""
        # Two readers of one job may read the same chunk side by side.
        for position, chunk in sorted(found.chunks_by_position.items()):
            if position == len(self.results):
                self.results += chunk.results
                self.last_key = keys.chunk(self.job, position)
        self.revision = max(self.revision, found.revision)


class Intake:
    """Answer trainers' calls about jobs from the store."""

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
        """Accept a job once it is stored.

        Raises RequestError, NotRun if it was not stored and never will be,
        or OutcomeUnknown.
        """
        if request.method != 'POST':
            raise errors.WrongMethod('Batch jobs are submitted by POST.')
        await self._wait_for_division(route, request)
        job = self._job(route, request)
        runner = self._runners_by_service.get(job.service)
        if runner is None and not relay_module.is_relayed(request):
            # The instance that runs the job then need not read it back.
            holder = self._relay.holder_of(job.service)
            if holder is not None:
                answer = await self._relay.send(holder, request, RELAY_SECONDS)
                if answer is not None and answer.status == 202:
                    return _ACCEPTED
        give_up_at = requests.time_limit(route, request)
        left = give_up_at - self._clock.seconds()
        try_for = ACCEPT_PART * left
        if relay_module.is_relayed(request):
            try_for = RELAYED_TRY_SECONDS
        try_until = Instant(self._clock.seconds() + try_for)
        shares = self._shares(job)
        is_new = await self._accept(job, shares, request, try_until)
        log.info(
            'Job accepted.',
            request=request.id,
            service=job.service,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
        )
        # One that stood before may have results: its runner reads them.
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
                runner.offer(job)

    async def read_results(
        self, query: ResultsQuery, account: AccountName | None = None
    ) -> bytes:
        """Return results from a position on, waiting for the first.

        Raises UnknownStep if there is no such job, StoreUnavailable if
        that is not known.
        """
        deadline = Instant(self._clock.seconds() + query.wait)
        try:
            view = await self._view(query)
            _check_owner(view.summary.account, account)
            while len(view.results) <= query.first and not view.is_whole:
                left = deadline - self._clock.seconds()
                if left <= 0.0:
                    break
                view.take(
                    await self._store.watch_results(
                        query.job, view.revision, left
                    )
                )
        except store_module.HistoryGone:
            # The reader asks again; by then the view is read anew.
            self._views_by_id.pop(query.job, None)
        except (
            store_module.StoreRefused,
            store_module.StoreUnclear,
        ) as error:
            raise errors.StoreUnavailable(
                f'The results can not be read now: {error}.', RETRY_AFTER
            ) from error
        return result_page.page(view.summary.total, view.results, query.first)

    async def read_item(
        self,
        job_id: JobId,
        item_id: ItemId,
        account: AccountName | None = None,
    ) -> bytes:
        """Return the body of one item.

        Raises UnknownStep if there is no such item, StoreUnavailable if
        that is not known.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            try:
                job = await self._store.read_whole(job_id)
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                raise errors.StoreUnavailable(
                    f'The job can not be read now: {error}.', RETRY_AFTER
                ) from error
        if job is None:
            raise errors.UnknownStep('There is no such batch job.')
        _check_owner(job.account, account)
        self._jobs_by_id[job_id] = job
        if len(self._jobs_by_id) > CACHED_BODIES:
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
        """End a job, whose service is looked up if it is not given.

        Raises UnknownStep if there is none, StoreUnavailable if the end
        may not have been written.
        """
        try:
            shares: tuple[tuple[ServiceName, JobId], ...] = ()
            if service is None:
                view = self._views_by_id.get(job_id)
                view = view or await self._load(job_id)
                _check_owner(view.summary.account, account)
                service = view.summary.service
                shares = view.summary.shares
            await self._store.end(service, job_id, shares)
        except (
            store_module.StoreRefused,
            store_module.StoreUnclear,
        ) as error:
            raise errors.StoreUnavailable(
                f'The end can not be written now: {error}.', RETRY_AFTER
            ) from error
        log.info('Job ended by its trainer.', job=job_id)

    async def _wait_for_division(
        self, route: Route, request: ClientRequest
    ) -> None:
        """Wait until it is known whose jobs a route's are.

        An instance that has just started knows its routes a moment before.
        Accepted for a holder that there is not, a job would never be run.
        Raises NotRun if that takes longer than the trainer waits.
        """
        give_up_at = requests.time_limit(route, request)
        for service in route.services[:1]:
            while service not in self._state.divisions_by_service:
                if self._clock.seconds() >= give_up_at - RETRY_SECONDS:
                    raise errors.NotRun(
                        'The job was not stored: nobody runs its service yet.',
                        RETRY_AFTER,
                    )
                await task.deferLater(self._clock, DIVISION_SECONDS)

    def _job(self, route: Route, request: ClientRequest) -> Job:
        submitted = wire_jobs.submission(
            request.body, has_account=request.account is not None
        )
        if not route.services:
            raise errors.NoTarget('The route has no service.', RETRY_AFTER)
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
            submitted_at=now,
            due_at=WallTime(now + due_after),
            retained_until=WallTime(now + retention),
            items=submitted.items,
        )

    async def _accept(
        self,
        job: Job,
        shares: tuple[Job, ...],
        request: ClientRequest,
        try_until: Instant,
    ) -> bool:
        """Tell whether the job was written by this call and is new."""
        may_stand = False
        while True:
            try:
                return await self._store.accept(job, shares)
            except store_module.StoreRefused as error:
                cause: Exception = error
            except store_module.StoreUnclear as error:
                may_stand = True
                cause = error
            if not relay_module.is_relayed(request):
                answer = await self._pass_on(request)
                if answer is not None and answer.status == 202:
                    return False
                may_stand = may_stand or answer is None
            if self._clock.seconds() >= try_until:
                break
            await task.deferLater(self._clock, RETRY_SECONDS)
        if may_stand:
            # An unanswered write may be carried out later: the job may run
            # and must not be refused as one that never will.
            raise errors.OutcomeUnknown(f'The job may stand: {cause}.')
        raise errors.NotRun(f'The job was not stored: {cause}.', RETRY_AFTER)

    async def _pass_on(self, request: ClientRequest) -> TargetAnswer | None:
        """Submit through a peer; none if the job may stand there."""
        peer = self._relay.peer()
        if peer is None:
            return _REFUSED
        answer = await self._relay.send(peer, request, RELAY_SECONDS)
        if answer is not None and answer.status not in (202, 503):
            return None
        return answer

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
        view.take(found)
        self._views_by_id[job_id] = view
        if len(self._views_by_id) > CACHED_JOBS:
            self._views_by_id.popitem(last=False)
        return view

    async def _refresh(self, job_id: JobId, view: JobView) -> None:
        view.take(await self._store.read_results(job_id, view.last_key))


def _check_owner(
    owner: AccountName | None, account: AccountName | None
) -> None:
    # Told as not found: whether another account has such a job is not told.
    if owner is not None and owner != account:
        raise errors.UnknownStep('There is no such batch job.')
