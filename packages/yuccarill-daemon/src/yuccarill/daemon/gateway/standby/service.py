"""Act as standby for the duty holders that send their open jobs."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core import decoding
from yuccarill.core.ids import Instant
from yuccarill.core.jobs.standby import StandbyWatch
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway.standby import messages
from yuccarill.daemon.gateway.standby import witness
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.jobs.texts import TextCopyStore
    from yuccarill.daemon.gateway.standby.standby_runner import StandbyRunner
    from yuccarill.daemon.gateway.standby.witness import Witnesses
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('standby')

# Interval of checks of all holders and of the standby's own runs.
TICK_SECONDS = 0.1
# Interval at which a running standby retries the store; short, since the next
# holder waits for the standby's texts.
RETRY_SECONDS = 0.3
# Interval of checks for a store outage while a holder is silent. A check reads
# the age of the last store contact and sends no call to the store.
OUTAGE_CHECK_SECONDS = 0.3


@dataclasses.dataclass
class _HolderState:
    """Hold the copied jobs and the state of one service's holder."""

    holder: InstanceId
    incarnation: Incarnation
    jobs_by_id: dict[JobId, Job] = dataclasses.field(default_factory=dict)
    ended_by_job: dict[JobId, set[ItemId]] = dataclasses.field(
        default_factory=dict
    )
    watch: StandbyWatch = dataclasses.field(default_factory=StandbyWatch)
    next_check_at: Instant = Instant(0.0)
    is_checking: bool = False
    runner: StandbyRunner | None = None
    # Whether the holder was notified that the store has recovered.
    is_notified: bool = False
    next_retry_at: Instant = Instant(0.0)


class StandbyService:
    """Run the jobs of a holder that is lost during a store outage."""

    def __init__(
        self,
        state: GatewayState,
        store_age: Callable[[], float],
        depot: TextCopyStore,
        witnesses: Witnesses,
        make_runner: Callable[[ServiceName], StandbyRunner],
        notify_holder: Callable[
            [InstanceId, ServiceName], Coroutine[Any, Any, bool]
        ],
        retry_store: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._store_age = store_age
        self._depot = depot
        self._witnesses = witnesses
        self._make_runner = make_runner
        # Notifies a possibly restarted holder to reclaim its duty.
        self._notify_holder = notify_holder
        # Retries the connection to the store immediately.
        self._retry_store = retry_store
        self._clock = clock
        self._holders_by_service: dict[ServiceName, _HolderState] = {}
        self._ticker = background.ticker(self._tick, 'standby', clock)
        depot.on_read = self._hand_over

    def start(self) -> None:
        """Start to monitor holders."""
        self._ticker.start(TICK_SECONDS).addErrback(self._failed)

    def handles_path(self, path: str) -> bool:
        """Return whether this service handles a path of the peer port."""
        return path.startswith(messages.PATH)

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Store a holder's open jobs, or answer another standby's query."""
        if request.path == messages.SIGHTING_PATH:
            return await self._witnesses.handle(request)
        try:
            message = decoding.from_msgpack(request.body, messages.OpenJobs)
        except msgspec.MsgspecError as error:
            log.warning('Open jobs could not be decoded.', cause=str(error))
            return SmallResponse(status=400)
        missing = self._record_jobs(message)
        return SmallResponse(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(messages.Lacking(jobs=missing)),
        )

    def _record_jobs(self, message: messages.OpenJobs) -> tuple[JobId, ...]:
        state = self._holders_by_service.get(message.service)
        if state is None or state.incarnation != message.incarnation:
            self.stop(message.service)
            state = _HolderState(message.holder, message.incarnation)
            self._holders_by_service[message.service] = state
        state.watch.record_heartbeat(self._now())
        if state.runner is not None:
            # The message proves that the holder is alive.
            self._stop_runner(message.service, state)
        missing = []
        jobs_by_id: dict[JobId, Job] = {}
        ended_by_job: dict[JobId, set[ItemId]] = {}
        for open_job in message.jobs:
            job = open_job.job or state.jobs_by_id.get(open_job.id)
            if job is None:
                missing.append(open_job.id)
                continue
            jobs_by_id[open_job.id] = job
            ended = set() if open_job.job else state.ended_by_job[open_job.id]
            ended_by_job[open_job.id] = ended | set(open_job.ended)
            self._depot.remove_items(message.service, open_job.ended)
        state.jobs_by_id, state.ended_by_job = jobs_by_id, ended_by_job
        return tuple(missing)

    def stop(self, service: ServiceName) -> None:
        """Stop running a service's jobs and drop the state of its holder."""
        state = self._holders_by_service.pop(service, None)
        if state is not None and state.runner is not None:
            self._stop_runner(service, state)

    def _hand_over(self, service: ServiceName) -> None:
        # An instance that fetches the texts is about to run them.
        state = self._holders_by_service.get(service)
        if state is not None and state.runner is not None:
            self.stop(service)

    def _stop_runner(self, service: ServiceName, state: _HolderState) -> None:
        assert state.runner is not None
        state.runner.stop()
        texts = state.runner.texts()
        state.runner = None
        self._depot.store_texts(service, texts)
        log.info('Standby runs stopped.', service=service, texts=len(texts))

    def _tick(self) -> None:
        for service, state in list(self._holders_by_service.items()):
            now = self._now()
            if not state.watch.is_silent(now):
                continue
            if self._is_taken_over(service, state):
                self.stop(service)
                continue
            if state.runner is not None:
                self._announce_recovery(service, state)
            if now >= state.next_check_at and not state.is_checking:
                self._start_check(state)
            if state.watch.can_run(now):
                self._run(service, state)
            elif state.runner is not None:
                self.stop(service)

    def _is_taken_over(
        self, service: ServiceName, state: _HolderState
    ) -> bool:
        """Return whether an instance other than the holder has the duty."""
        duty = self._state.duties_by_service.get(service)
        return duty is not None and duty.instance != state.holder

    def _run(self, service: ServiceName, state: _HolderState) -> None:
        if state.runner is not None:
            state.runner.schedule_runs()
            return
        if self._state.is_leaving or not state.jobs_by_id:
            return
        state.is_notified = False
        state.runner = self._make_runner(service)
        texts = self._depot.texts(service)
        log.warning(
            'Standby resumes the jobs of a holder.',
            service=service,
            holder=state.holder,
            jobs=len(state.jobs_by_id),
            texts=len(texts),
        )
        state.runner.start(
            [
                (job, state.ended_by_job[job_id])
                for job_id, job in state.jobs_by_id.items()
            ],
            texts,
        )

    def _announce_recovery(
        self, service: ServiceName, state: _HolderState
    ) -> None:
        """Notify the holder's instance once the store is reachable again.

        A restarted holder knows no other instance, and its retries back off.
        """
        if state.is_notified:
            return
        if self._store_age() >= witness.STORE_LOST_SECONDS:
            if self._now() >= state.next_retry_at:
                state.next_retry_at = Instant(self._now() + RETRY_SECONDS)
                self._retry_store()
            return
        state.is_notified = True
        state.watch.record_store_probe(True, self._now())
        notifying = defer.Deferred.fromCoroutine(
            self._notify_holder(state.holder, service)
        )
        notifying.addErrback(self._failed)

    def _start_check(self, state: _HolderState) -> None:
        state.is_checking = True
        checking = defer.Deferred.fromCoroutine(self._check_store(state))
        checking.addErrback(self._failed)
        checking.addBoth(self._check_ended, state)

    async def _check_store(self, state: _HolderState) -> None:
        if self._store_age() < witness.STORE_LOST_SECONDS:
            state.watch.record_store_probe(True, self._now())
        elif await self._witnesses.are_lost(state.holder, state.incarnation):
            state.watch.record_store_probe(False, self._now())

    def _check_ended(self, _: object, state: _HolderState) -> None:
        state.is_checking = False
        state.next_check_at = Instant(self._now() + OUTAGE_CHECK_SECONDS)

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Standby task failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
