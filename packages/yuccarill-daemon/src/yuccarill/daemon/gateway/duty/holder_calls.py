"""Ask the last holder of a free duty whether it reclaims the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('duty')

PATH = '/duty'
# Longest delay by a dead holder; covers a cross-region call and a busy loop.
ANSWER_SECONDS = 0.3
# Time for a living last holder to reclaim its duty with two store calls; the
# request itself notifies the last holder of the free duty.
RECLAIM_SECONDS = 0.8


class HolderCalls:
    """Ask last holders whether they reclaim a duty, and answer such calls."""

    def __init__(self, state: GatewayState, peers: PeerCalls) -> None:
        self._state = state
        self._peers = peers
        # Called with the service whose duty another instance found free.
        self.on_duty_free: Callable[[ServiceName], None] = lambda service: None

    async def request_reclaim(
        self, holder: InstanceId, service: ServiceName
    ) -> bool:
        """Return whether the last holder is alive and reclaims the duty."""
        peer = self._state.instances_by_id.get(holder)
        if peer is None:
            # A live holder's session lease can expire in a store outage.
            peer = self._state.recent_instances_by_id.get(holder)
        if peer is None:
            return False
        query = urllib.parse.urlencode({'service': service})
        try:
            await self._peers.call(
                peer, 'GET', f'{PATH}?{query}', ANSWER_SECONDS
            )
        except peer_call.PeerFailed as error:
            log.info(
                'Last holder did not confirm that it reclaims its duty.',
                holder=holder,
                cause=str(error),
            )
            return False
        return True

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Answer whether this instance reclaims a duty; 409 if it does not."""
        query = urllib.parse.parse_qs(request.query)
        service = ServiceName(query.get('service', [''])[0])
        if self._state.is_leaving:
            return SmallResponse(status=409)
        self.on_duty_free(service)
        return SmallResponse(status=200)
