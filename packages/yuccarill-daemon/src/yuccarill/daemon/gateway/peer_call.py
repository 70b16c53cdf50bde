"""Call another instance over its peer port."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.core import decoding
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange

if TYPE_CHECKING:
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.gateway.state import InstanceRecord


T = TypeVar('T')


class PeerFailed(Exception):
    """Report a failed call of a peer."""


class PeerCalls:
    """Call peers, each call with a deadline."""

    def __init__(self, links: Connections, clock: Any) -> None:
        self._links = links
        self._clock = clock

    async def call(
        self,
        peer: InstanceRecord,
        method: str,
        target: str,
        seconds: float,
        body: bytes = b'',
    ) -> bytes:
        """Call a peer and return the body of its answer.

        Raises PeerFailed unless the peer answers with status 200 in time.
        """
        return await self.call_at(
            peer.peer_address, method, target, seconds, body
        )

    async def call_at(
        self,
        address: str,
        method: str,
        target: str,
        seconds: float,
        body: bytes = b'',
    ) -> bytes:
        """Call a peer by its address, with the errors of `call`."""
        request = http_exchange.OutgoingRequest(
            method=method,
            target=target,
            headers=(('Host', address),),
            body=body,
        )
        deadline = Instant(self._clock.seconds() + seconds)
        try:
            reply = await self._links.exchange(address, request, deadline)
        except (
            http_exchange.NotConnected,
            http_exchange.ExchangeFailed,
        ) as error:
            raise PeerFailed(str(error)) from error
        if reply.head.status != 200:
            raise PeerFailed(f'status {reply.head.status}')
        return reply.body

    async def call_decoded(
        self,
        peer: InstanceRecord,
        method: str,
        target: str,
        seconds: float,
        kind: type[T],
        message: msgspec.Struct | None = None,
    ) -> T:
        """Send a message and return the peer's decoded answer.

        Raises PeerFailed, also for an answer that can't be decoded.
        """
        body = b'' if message is None else msgspec.msgpack.encode(message)
        answer = await self.call(peer, method, target, seconds, body)
        try:
            return decoding.from_msgpack(answer, kind)
        except msgspec.MsgspecError as error:
            raise PeerFailed(str(error)) from error
