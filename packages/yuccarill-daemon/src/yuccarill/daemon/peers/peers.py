"""Streams to and from all peers of this instance."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon import logs
from yuccarill.daemon.peers import ends
from yuccarill.daemon.peers import link
from yuccarill.daemon.peers import local
from yuccarill.daemon.peers import stream

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.instances import Instance
    from yuccarill.wire import messages

log = logs.for_part('peers')

CONNECT_SECONDS = 1.0
CHECK_SECONDS = 0.25
# A gap of this many seconds between checks means that the process was paused.
PAUSE_SECONDS = 1.0
IDLE_SECONDS = 60.0
MAX_STREAMS = 1024


class Peers:
    """Answer requests of peers and send requests to them."""

    def __init__(
        self,
        handle: Callable[[messages.Body], Awaitable[messages.Body]],
        me: Instance,
        incarnation: Incarnation,
        clock: Any = reactor,
        dial: link.Dial | None = None,
    ) -> None:
        self._local = local.Local(
            me=me,
            incarnation=incarnation,
            handle=handle,
            clock=clock,
        )
        self._dial = dial or _dial
        self._jitter = random.Random(incarnation)
        self._links_by_id: dict[InstanceId, link.PeerLink] = {}
        self._port: Any = None
        self._checked_at = Instant(clock.seconds())
        self._check_loop = task.LoopingCall(self.check)
        self._check_loop.clock = clock
        self.ends_by_cause = self._local.ends_by_cause
        self.traffic = self._local.traffic

    @property
    def stream_count(self) -> int:
        """Return the number of open streams, incoming and outgoing."""
        return len(self._local.streams)

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests from peers in flight."""
        return sum(each.incoming_in_flight for each in self._local.streams)

    async def listen(self, host: str, port: int) -> Any:
        """Accept incoming streams and start periodic checks of all streams."""
        factory = protocol.Factory.forProtocol(self.accept)
        endpoint = endpoints.TCP4ServerEndpoint(reactor, port, interface=host)
        self._check_loop.start(CHECK_SECONDS, now=False)
        self._port = await endpoint.listen(factory)
        return self._port

    async def close(self) -> None:
        """Stop listening and close all streams."""
        if self._check_loop.running:
            self._check_loop.stop()
        if self._port is not None:
            await defer.maybeDeferred(self._port.stopListening)
        for each in list(self._local.streams):
            # loseConnection sends the buffered data first.
            each.transport.loseConnection()

    def accept(self) -> stream.PeerStream | None:
        """Return the protocol of an incoming stream, or None to reject it."""
        if len(self._local.streams) >= MAX_STREAMS:
            self.ends_by_cause[ends.StreamEnd.TOO_MANY] += 1
            return None
        return stream.PeerStream(self._local)

    async def request(
        self, peer: Instance, body: messages.Body, seconds: float
    ) -> Any:
        """Send a request to a peer and return its reply.

        Raises NotRun if no byte was sent, PeerUnavailable if the peer may
        have received the request, else the error that the peer returned.
        """
        peer_link = self._links_by_id.get(peer.id)
        if peer_link is None:
            peer_link = link.PeerLink(self._local, self._dial, self._jitter)
            self._links_by_id[peer.id] = peer_link
        peer_stream = await peer_link.open(peer)
        return await peer_stream.request(body, seconds)

    def check(self) -> None:
        """Send due heartbeats; close silent and idle streams."""
        now = Instant(self._local.clock.seconds())
        self.traffic.report()
        # After a pause of this process, data waits unread in the sockets;
        # without a reset all streams would be closed as silent.
        was_paused = now - self._checked_at >= PAUSE_SECONDS
        self._checked_at = now
        for each in list(self._local.streams):
            if was_paused:
                each.reset_silence()
            each.check()
            if now - each.used_at >= IDLE_SECONDS and not each.is_busy:
                each.close(ends.StreamEnd.IDLE)

    def forget(self, peer: InstanceId) -> None:
        """Delete the link to a peer that has left."""
        self._links_by_id.pop(peer, None)


def _dial(peer: Instance, protocol_: stream.PeerStream) -> defer.Deferred[Any]:
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, peer.host, peer.peer_port, timeout=CONNECT_SECONDS
    )
    return endpoints.connectProtocol(endpoint, protocol_)
