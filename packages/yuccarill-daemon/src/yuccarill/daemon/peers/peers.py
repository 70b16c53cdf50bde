"""Streams to all peers that this instance has spoken to."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.daemon.peers import stream
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.instances import Instance

CONNECT_SECONDS = 1.0


class Peers:
    """Serve peers' requests and send them ours."""

    def __init__(
        self, handle: Callable[[messages.Body], Awaitable[messages.Body]]
    ) -> None:
        self._handle = handle
        self._streams_by_id: dict[InstanceId, stream.PeerStream] = {}

    async def listen(self, host: str, port: int) -> Any:
        """Accept streams of peers."""
        factory = protocol.Factory.forProtocol(
            lambda: stream.PeerStream(self._handle)
        )
        endpoint = endpoints.TCP4ServerEndpoint(reactor, port, interface=host)
        return await endpoint.listen(factory)

    async def request(
        self, peer: Instance, body: messages.Body, seconds: float
    ) -> Any:
        """Send a request to a peer and return its reply.

        Raises NotRun if no byte was sent, PeerUnavailable if the peer may
        have taken the request, else what the peer raised.
        """
        peer_stream = self._streams_by_id.get(peer.id)
        if peer_stream is None:
            peer_stream = await self._connect(peer)
        return await peer_stream.request(body, seconds)

    async def _connect(self, peer: Instance) -> stream.PeerStream:
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, peer.host, peer.peer_port, timeout=CONNECT_SECONDS
        )
        new = stream.PeerStream(
            self._handle, lambda: self._forget(peer.id, new)
        )
        try:
            await endpoints.connectProtocol(endpoint, new)
        except Exception as error:
            raise errors.NotRun(
                f'Instance {peer.id} can not be reached.', retry_after=1.0
            ) from error
        self._streams_by_id[peer.id] = new
        return new

    def _forget(self, peer: InstanceId, lost: stream.PeerStream) -> None:
        if self._streams_by_id.get(peer) is lost:
            del self._streams_by_id[peer]
