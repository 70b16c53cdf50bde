"""Ask the last holder of a duty whether it lives, and is to have it back."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.daemon.adapters.small_server import Page
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('duty')

PATH = '/duty'
# Seconds for its answer: a way between regions and a busy loop fit, and one
# that is lost for good keeps its successor waiting no longer.
ANSWER_SECONDS = 0.3
# Seconds that a last holder which lives has to take its duty back. It is told
# of the free duty by the question itself, and needs two calls of the store.
BACK_SECONDS = 0.8


class HolderCalls:
    """Ask last holders, and answer as one."""

    def __init__(self, state: GatewayState, peers: PeerCalls) -> None:
        self._state = state
        self._peers = peers
        # Called with a service whose duty somebody else found free.
        self.on_asked: Callable[[ServiceName], None] = lambda service: None

    async def is_alive(self, holder: InstanceId, service: ServiceName) -> bool:
        """Tell whether a last holder lives and wants the duty back."""
        peer = self._state.instances_by_id.get(holder)
        if peer is None:
            # Its entry went with its lease, and comes back with it.
            peer = self._state.known_instances_by_id.get(holder)
        if peer is None:
            return False
        query = urllib.parse.urlencode({'service': service})
        try:
            await self._peers.call(
                peer, 'GET', f'{PATH}?{query}', ANSWER_SECONDS
            )
        except peer_call.PeerFailed as error:
            log.info('Last holder is lost.', holder=holder, cause=str(error))
            return False
        return True

    async def handle(self, request: SmallRequest) -> Page:
        """Say whether this instance wants a duty back."""
        query = urllib.parse.parse_qs(request.query)
        service = ServiceName(query.get('service', [''])[0])
        if self._state.is_leaving:
            return Page(status=409)
        self.on_asked(service)
        return Page(status=200)
