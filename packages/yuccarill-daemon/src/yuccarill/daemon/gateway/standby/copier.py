"""Copy a duty holder's open jobs to its standby, the next candidate."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.daemon.gateway import background
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

# Interval of messages; each one is also a heartbeat of the holder.
SEND_SECONDS = 0.5
ANSWER_SECONDS = 0.8
# Consecutive accepted messages before the standby is recorded in the store;
# limits the writes while instances join and the standby changes.
SETTLED_MESSAGES = 4
# Larger jobs are not copied, since they would block other traffic on the link;
# they wait for the store. 1,024 items of 1 kB take 0.15 s on a link of 60
# Mbit/s.
MAX_JOB_ITEMS = 1024


class JobCopier:
    """Send a runner's open jobs to its standby; whole until acknowledged."""

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
        # Called with the address of a standby that accepted SETTLED_MESSAGES.
        self._on_settled = on_settled
        # Returns each open job with its ended items.
        self._open_jobs = open_jobs
        self._sender = sender
        self._peers = peers
        self._standby: InstanceRecord | None = None
        self._accepted_messages = 0
        # Ended items of each job the standby has; other jobs are sent whole.
        self._ended_by_job: dict[JobId, frozenset[ItemId]] = {}
        self._sending: defer.Deferred[None] | None = None
        self._ticker = background.ticker(self._tick, 'job copies', clock)

    def start(self) -> None:
        """Start sending at regular intervals."""
        self._ticker.start(SEND_SECONDS)

    def stop(self) -> None:
        """Stop sending and cancel a message in flight."""
        if self._ticker.running:
            self._ticker.stop()
        if self._sending is not None:
            self._sending.cancel()

    def _tick(self) -> None:
        if self._sending is not None:
            return
        self._sending = defer.Deferred.fromCoroutine(self._send())
        self._sending.addErrback(self._failed)
        self._sending.addBoth(self._send_ended)

    async def _send(self) -> None:
        receivers = self._sender.receivers(self._service)
        if not receivers:
            return
        peer = receivers[0]
        if self._standby is None or peer.instance != self._standby.instance:
            former, self._standby = self._standby, peer
            self._accepted_messages = 0
            self._ended_by_job.clear()
            if former is not None:
                releasing = defer.Deferred.fromCoroutine(self._release(former))
                releasing.addErrback(self._failed)
        jobs_by_id = {
            job.id: (job, ended)
            for job, ended in self._open_jobs()
            if len(job.items) <= MAX_JOB_ITEMS
        }
        message = messages.OpenJobs(
            service=self._service,
            holder=self._state.settings.instance,
            incarnation=self._state.incarnation,
            jobs=tuple(
                self._open_job(job, ended)
                for job, ended in jobs_by_id.values()
            ),
        )
        try:
            answer = await self._peers.call_decoded(
                peer,
                'POST',
                messages.PATH,
                ANSWER_SECONDS,
                messages.Lacking,
                message,
            )
        except peer_call.PeerFailed as error:
            # The standby's state is unknown, so all jobs are sent whole.
            self._ended_by_job.clear()
            self._accepted_messages = 0
            log.info('Job copy failed.', peer=peer.instance, cause=str(error))
            return
        self._ended_by_job = {
            job_id: ended
            for job_id, (_, ended) in jobs_by_id.items()
            if job_id not in answer.jobs
        }
        self._accepted_messages += 1
        if self._accepted_messages >= SETTLED_MESSAGES:
            self._on_settled(peer.peer_address)

    async def _release(self, peer: InstanceRecord) -> None:
        """Tell a former standby that it has no jobs to resume."""
        message = messages.OpenJobs(
            service=self._service,
            holder=self._state.settings.instance,
            jobs=(),
            incarnation=self._state.incarnation,
        )
        try:
            await self._peers.call_decoded(
                peer,
                'POST',
                messages.PATH,
                ANSWER_SECONDS,
                messages.Lacking,
                message,
            )
        except peer_call.PeerFailed as error:
            log.info(
                'Standby release failed.', peer=peer.instance, cause=str(error)
            )

    def _open_job(
        self, job: Job, ended: frozenset[ItemId]
    ) -> messages.OpenJob:
        acknowledged = self._ended_by_job.get(job.id)
        if acknowledged is None:
            return messages.OpenJob(id=job.id, job=job, ended=tuple(ended))
        return messages.OpenJob(id=job.id, ended=tuple(ended - acknowledged))

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Job copier failed.', cause=failure.getTraceback())

    def _send_ended(self, _: object) -> None:
        self._sending = None
