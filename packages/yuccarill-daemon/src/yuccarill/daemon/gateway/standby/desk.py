"""Stand by for the holders that send this instance their open jobs."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.jobs.standby import StandbyWatch
from yuccarill.daemon.adapters.small_server import Page
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
    from yuccarill.daemon.gateway.jobs.texts import TextDepot
    from yuccarill.daemon.gateway.standby.unlisted_runs import StandbyRunner
    from yuccarill.daemon.gateway.standby.witness import Witnesses
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('standby')

# Seconds between looks at holders, and at a standby's own runs.
TICK_SECONDS = 0.1
# Seconds between calls by which a standby that runs finds the store again: the
# next holder waits for its texts.
PROBE_SECONDS = 0.3
# Seconds between looks at whether the store is there, while a holder is
# silent. They cost no call of it: what was last heard of it tells.
LOOK_SECONDS = 0.3


@dataclasses.dataclass
class _Service:
    """Hold what is known of one service's holder."""

    holder: InstanceId
    incarnation: Incarnation
    jobs_by_id: dict[JobId, Job] = dataclasses.field(default_factory=dict)
    ended_by_job: dict[JobId, set[ItemId]] = dataclasses.field(
        default_factory=dict
    )
    watch: StandbyWatch = dataclasses.field(default_factory=StandbyWatch)
    look_at: Instant = Instant(0.0)
    is_looking: bool = False
    runner: StandbyRunner | None = None
    # The holder's instance was told that the store is back.
    is_told: bool = False
    probe_at: Instant = Instant(0.0)


class StandbyDesk:
    """Know the open jobs of other holders, and run them if need be."""

    def __init__(
        self,
        state: GatewayState,
        store_age: Callable[[], float],
        depot: TextDepot,
        witnesses: Witnesses,
        make_runner: Callable[[ServiceName], StandbyRunner],
        tell_return: Callable[
            [InstanceId, ServiceName], Coroutine[Any, Any, bool]
        ],
        expect_return: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._store_age = store_age
        self._depot = depot
        self._witnesses = witnesses
        self._make_runner = make_runner
        # Tells a holder that may have started again to look for its duty.
        self._tell_return = tell_return
        # Tries at once whether a lost store is back.
        self._expect_return = expect_return
        self._clock = clock
        self._services_by_name: dict[ServiceName, _Service] = {}
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = clock
        depot.on_show = self._hand_over

    def start(self) -> None:
        """Begin to look after holders."""
        self._ticker.start(TICK_SECONDS).addErrback(self._failed)

    def handles(self, path: str) -> bool:
        """Tell whether a page of the peer port is answered here."""
        return path.startswith(messages.PATH)

    async def handle(self, request: SmallRequest) -> Page:
        """Take what a holder says of its open jobs, or answer a standby."""
        if request.path == messages.SIGHT_PATH:
            return await self._witnesses.handle(request)
        try:
            message = msgspec.msgpack.decode(
                request.body, type=messages.OpenJobs
            )
        except msgspec.MsgspecError as error:
            log.warning('Jobs not taken.', cause=str(error))
            return Page(status=400)
        lacking = self._take(message)
        return Page(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(messages.Lacking(jobs=lacking)),
        )

    def _take(self, message: messages.OpenJobs) -> tuple[JobId, ...]:
        known = self._services_by_name.get(message.service)
        if known is None or known.incarnation != message.incarnation:
            self.stop(message.service)
            known = _Service(message.holder, message.incarnation)
            self._services_by_name[message.service] = known
        known.watch.record_heartbeat(self._now())
        if known.runner is not None:
            # The holder was not lost, or is back.
            self._stop(message.service, known)
        lacking = []
        jobs_by_id: dict[JobId, Job] = {}
        ended_by_job: dict[JobId, set[ItemId]] = {}
        for each in message.jobs:
            job = each.job or known.jobs_by_id.get(each.id)
            if job is None:
                lacking.append(each.id)
                continue
            jobs_by_id[each.id] = job
            before = set() if each.job else known.ended_by_job[each.id]
            ended_by_job[each.id] = before | set(each.ended)
            self._depot.drop(message.service, each.ended)
        known.jobs_by_id, known.ended_by_job = jobs_by_id, ended_by_job
        return tuple(lacking)

    def stop(self, service: ServiceName) -> None:
        """Run a service no longer: its duty is held, here or elsewhere."""
        known = self._services_by_name.pop(service, None)
        if known is not None and known.runner is not None:
            self._stop(service, known)

    def _hand_over(self, service: ServiceName) -> None:
        # Whoever asks for the texts is about to run them.
        known = self._services_by_name.get(service)
        if known is not None and known.runner is not None:
            self.stop(service)

    def _stop(self, service: ServiceName, known: _Service) -> None:
        assert known.runner is not None
        known.runner.stop()
        texts = known.runner.texts()
        known.runner = None
        self._depot.put(service, texts)
        log.info('Standby ended.', service=service, texts=len(texts))

    def _tick(self) -> None:
        for service, known in list(self._services_by_name.items()):
            now = self._now()
            if not known.watch.is_silent(now):
                continue
            if self._is_taken(service, known):
                self.stop(service)
                continue
            if known.runner is not None:
                self._note_return(service, known)
            if now >= known.look_at and not known.is_looking:
                self._look(known)
            if known.watch.can_run(now):
                self._run(service, known)
            elif known.runner is not None:
                self.stop(service)

    def _is_taken(self, service: ServiceName, known: _Service) -> bool:
        """Tell whether another instance holds the duty by now."""
        duty = self._state.duties_by_service.get(service)
        return duty is not None and duty.instance != known.holder

    def _run(self, service: ServiceName, known: _Service) -> None:
        if known.runner is not None:
            known.runner.survey()
            return
        if self._state.is_leaving or not known.jobs_by_id:
            return
        known.is_told = False
        known.runner = self._make_runner(service)
        texts = self._depot.kept(service)
        log.warning(
            'Standby goes on.',
            service=service,
            holder=known.holder,
            jobs=len(known.jobs_by_id),
            texts=len(texts),
        )
        known.runner.start(
            [
                (job, known.ended_by_job[job_id])
                for job_id, job in known.jobs_by_id.items()
            ],
            texts,
        )

    def _note_return(self, service: ServiceName, known: _Service) -> None:
        """Let the holder's instance know that the store is back.

        One that has started again knows no other instance, and looks for the
        store by itself, ever more seldom.
        """
        if known.is_told:
            return
        if self._store_age() >= witness.STORE_AGE:
            if self._now() >= known.probe_at:
                known.probe_at = Instant(self._now() + PROBE_SECONDS)
                self._expect_return()
            return
        known.is_told = True
        known.watch.record_store_probe(True, self._now())
        telling = defer.Deferred.fromCoroutine(
            self._tell_return(known.holder, service)
        )
        telling.addErrback(self._failed)

    def _look(self, known: _Service) -> None:
        known.is_looking = True
        looking = defer.Deferred.fromCoroutine(self._find_out(known))
        looking.addErrback(self._failed)
        looking.addBoth(self._looked, known)

    async def _find_out(self, known: _Service) -> None:
        if self._store_age() < witness.STORE_AGE:
            known.watch.record_store_probe(True, self._now())
        elif await self._witnesses.are_lost(known.holder, known.incarnation):
            known.watch.record_store_probe(False, self._now())

    def _looked(self, _: object, known: _Service) -> None:
        known.is_looking = False
        known.look_at = Instant(self._now() + LOOK_SECONDS)

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Standby failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
