"""Let the next candidate know the open jobs of a holder."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.standby import messages
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.gateway.jobs.texts import TextSender
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('standby')

# Seconds between messages; each also says that the holder is alive.
TELL_SECONDS = 0.5
# Seconds that one may take.
ANSWER_SECONDS = 0.8
# Messages taken in a row by which a standby has the jobs and their texts. Who
# it is changes with each instance that starts, and each change is a write.
SETTLED_MESSAGES = 4
# Items of a job that goes whole to the standby. 1,024 of some 1 kB are a
# megabyte, 0.15 s of a link of 60 Mbit/s; a larger one would hold up what
# else the link carries, and waits for the store as it did before.
MAX_ITEMS = 1024


class JobCopier:
    """Send a runner's open jobs, whole ones once."""

    def __init__(
        self,
        service: ServiceName,
        state: GatewayState,
        open_jobs: Callable[[], Iterable[tuple[Job, frozenset[ItemId]]]],
        sender: TextSender,
        peers: PeerCalls,
        on_settled: Callable[[str], None],
        clock: Any,
    ) -> None:
        self._service = service
        self._state = state
        # Called with the peer port of a standby that goes on answering.
        self._on_settled = on_settled
        # Each open job, and its items that have ended.
        self._open_jobs = open_jobs
        self._sender = sender
        self._peers = peers
        self._standby: InstanceRecord | None = None
        # Messages that it took, one after the other.
        self._taken = 0
        # What the standby has, by its answers.
        self._ended_by_job: dict[JobId, frozenset[ItemId]] = {}
        self._telling: defer.Deferred[None] | None = None
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = clock

    def start(self) -> None:
        """Begin to send."""
        self._ticker.start(TELL_SECONDS)

    def stop(self) -> None:
        """Send nothing more."""
        if self._ticker.running:
            self._ticker.stop()
        if self._telling is not None:
            self._telling.cancel()

    def _tick(self) -> None:
        if self._telling is not None:
            return
        self._telling = defer.Deferred.fromCoroutine(self._tell())
        self._telling.addErrback(self._failed)
        self._telling.addBoth(self._told)

    async def _tell(self) -> None:
        receivers = self._sender.receivers(self._service)
        if not receivers:
            return
        peer = receivers[0]
        if self._standby is None or peer.instance != self._standby.instance:
            former, self._standby = self._standby, peer
            self._taken = 0
            self._ended_by_job.clear()
            if former is not None:
                dismissing = defer.Deferred.fromCoroutine(
                    self._dismiss(former)
                )
                dismissing.addErrback(self._failed)
        ended_by_job = {
            job.id: (job, ended)
            for job, ended in self._open_jobs()
            if len(job.items) <= MAX_ITEMS
        }
        message = messages.OpenJobs(
            service=self._service,
            holder=self._state.settings.instance,
            incarnation=self._state.incarnation,
            jobs=tuple(
                self._open_job(job, ended)
                for job, ended in ended_by_job.values()
            ),
        )
        try:
            answer = await self._peers.ask(
                peer,
                'POST',
                messages.PATH,
                ANSWER_SECONDS,
                messages.Lacking,
                message,
            )
        except peer_call.PeerFailed as error:
            # It may have some of it: all is sent as a whole again.
            self._ended_by_job.clear()
            self._taken = 0
            log.info('Jobs not copied.', peer=peer.instance, cause=str(error))
            return
        self._ended_by_job = {
            job_id: ended
            for job_id, (_, ended) in ended_by_job.items()
            if job_id not in answer.jobs
        }
        self._taken += 1
        if self._taken >= SETTLED_MESSAGES:
            self._on_settled(peer.peer_address)

    async def _dismiss(self, peer: InstanceRecord) -> None:
        """Let a former standby know that it has no jobs to go on with."""
        message = messages.OpenJobs(
            service=self._service,
            holder=self._state.settings.instance,
            jobs=(),
            incarnation=self._state.incarnation,
        )
        try:
            await self._peers.ask(
                peer,
                'POST',
                messages.PATH,
                ANSWER_SECONDS,
                messages.Lacking,
                message,
            )
        except peer_call.PeerFailed as error:
            log.info(
                'Standby not dismissed.', peer=peer.instance, cause=str(error)
            )

    def _open_job(
        self, job: Job, ended: frozenset[ItemId]
    ) -> messages.OpenJob:
        known = self._ended_by_job.get(job.id)
        if known is None:
            return messages.OpenJob(id=job.id, job=job, ended=tuple(ended))
        return messages.OpenJob(id=job.id, ended=tuple(ended - known))

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Copy failed.', cause=failure.getTraceback())

    def _told(self, _: object) -> None:
        self._telling = None
