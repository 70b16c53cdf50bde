"""Relay a trainer's call to another instance.

The instance that runs a job has its results in memory; an instance that
can't reach the store relays calls to a peer.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import zlib

from yuccarill.core.gateway import partitions
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway.routes import RouteKind
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.gateway.store import peer_choice
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import JobId
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('relay')

# Marks a relayed call, which is not relayed again.
HEADER = 'Yuccarill-Relayed'
# Seconds added to the call's own timeout for the peer's answer.
ANSWER_SECONDS = 0.8
# Seconds for which a peer that did not answer is not asked.
SUSPECT_SECONDS = 2.0
# Headers of the connection to the peer, not of its answer.
_HOP_BY_HOP = frozenset({'content-length', 'connection', 'transfer-encoding'})
# Stands for the answer of a peer that did not receive the call.
NOT_SENT = TargetAnswer(status=503, headers=(), body=b'', signature=None)


class Relay:
    """Relay trainers' calls to peers."""

    def __init__(
        self, state: GatewayState, links: Connections, clock: Any
    ) -> None:
        self._state = state
        self._links = links
        self._clock = clock
        self._peers = peer_choice.PeerChoice(state, clock)

    def holder_of_job(self, host: str, job: JobId) -> InstanceRecord | None:
        """Return the peer that has a job's results in memory, if any."""
        service = self._service(host)
        if service is None:
            return None
        division = self._state.division(service)
        if division.is_by_items:
            return self._find_reader(service, division.parts, job)
        if division.parts > 1:
            # The job's record in the store names its holder.
            return None
        return self.holder_of_part(service)

    def _find_reader(
        self, service: ServiceName, count: int, job: JobId
    ) -> InstanceRecord | None:
        """Return the instance that serves all reads of a shared job.

        One reader has most results cached and spares the holders the load.
        """
        duties_by_service = self._state.duties_by_service
        holders = {
            duties_by_service[part].instance
            for part in partitions.part_names(service, count)
            if part in duties_by_service
        }
        serving = self._state.serving_instances()
        found = min(
            (each for each in serving if each.instance not in holders),
            key=lambda each: zlib.crc32(f'{each.instance} {job}'.encode()),
            default=None,
        )
        if found is None or found.instance == self._state.settings.instance:
            return None
        return found

    def holder_of_part(self, part: ServiceName) -> InstanceRecord | None:
        """Return the peer that holds the duty of a service's part, if any."""
        duty = self._state.duties_by_service.get(part)
        if not duty or duty.instance == self._state.settings.instance:
            return None
        for record in self._state.instances_by_id.values():
            if record.instance == duty.instance:
                return record
        return None

    def peer(self) -> InstanceRecord | None:
        """Return a serving peer, none if no peer is available."""
        return self._peers.choose()

    async def send(
        self, peer: InstanceRecord, request: ClientRequest, seconds: float
    ) -> TargetAnswer | None:
        """Return a peer's answer.

        Returns NOT_SENT if the peer did not receive the call, and None if it
        may have carried it out.
        """
        if self._peers.is_excluded(peer.instance):
            return NOT_SENT
        outgoing = http_exchange.OutgoingRequest(
            method=request.method,
            target=request.target,
            # The peer authenticates the call again, so that a forged relay
            # header gives no access to an account.
            headers=(*request.headers, *_credentials(request), (HEADER, '1')),
            body=request.body,
        )
        deadline = Instant(self._clock.seconds() + seconds + ANSWER_SECONDS)
        try:
            reply = await self._links.exchange(
                peer.client_address, outgoing, deadline
            )
        except (
            http_exchange.NotConnected,
            http_exchange.ExchangeFailed,
        ) as error:
            self._peers.exclude(peer.instance, SUSPECT_SECONDS)
            log.info(
                'Peer did not answer.',
                request=request.id,
                peer=peer.instance,
                cause=str(error),
            )
            is_sent = isinstance(error, http_exchange.ExchangeFailed)
            return None if is_sent else NOT_SENT
        headers = tuple(
            header
            for header in reply.head.headers
            if header[0] not in _HOP_BY_HOP
        )
        return TargetAnswer(
            status=reply.head.status,
            headers=headers,
            body=reply.body,
            signature=None,
        )

    def _service(self, host: str) -> ServiceName | None:
        table = self._state.route_table
        if table is None:
            return None
        name = (host.rpartition(':')[0] or host).lower()
        found = {
            service
            for route in table.routes_by_name.values()
            if route.kind is RouteKind.BATCH and route.host == name
            for service in route.services
        }
        return found.pop() if len(found) == 1 else None


def _credentials(request: ClientRequest) -> tuple[tuple[str, str], ...]:
    known = {name.lower() for name, _ in request.headers}
    return tuple(
        header for header in request.identity if header[0].lower() not in known
    )


def may_have_run(answer: TargetAnswer | None) -> bool:
    """Return whether a peer may have carried out a call."""
    if answer is None:
        return True
    return not (400 <= answer.status < 500 or answer.status == 503)


def is_relayed(request: ClientRequest) -> bool:
    """Return whether a peer relayed the request."""
    return any(name.lower() == HEADER.lower() for name, _ in request.headers)
