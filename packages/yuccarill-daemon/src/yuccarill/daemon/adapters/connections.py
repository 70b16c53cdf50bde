"""Pool outgoing HTTP connections."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.internet import protocol
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds to open a connection; shorter than TCP's one-second SYN retransmit,
# so that a request fails over to another target instead.
CONNECT_SECONDS = 0.6
# Seconds to check whether a process listens; a retry waits for the result.
PROBE_SECONDS = 0.2
# Seconds for which a probe connection must stay open: a process that exits can
# still accept a connection and close it at once. Two of ten crashes in one
# soak run were taken for cut connections.
SETTLE_SECONDS = 0.02
# Bytes of all incomplete responses together; bounds the memory that servers
# can take up by sending bytes without end.
MAX_PENDING_BYTES = 32 << 20
# Idle connections per address; as many as an engine has request slots.
MAX_IDLE_PER_ADDRESS = 16


class Connections:
    """Open, pool and reuse connections by address."""

    def __init__(self, clock: Any, on_open: Callable[[str], None]) -> None:
        self._clock = clock
        self._on_open = on_open
        self._idle_by_address: dict[
            str, collections.deque[http_exchange.Connection]
        ] = collections.defaultdict(collections.deque)
        # Sinks of the responses that are being received.
        self._sinks_by_connection: dict[
            http_exchange.Connection, http_exchange.ResponseSink
        ] = {}
        self._pending_bytes = 0

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
        *,
        sink: http_exchange.ResponseSink | None = None,
        is_fresh: bool = False,
        progress_seconds: float | None = None,
    ) -> http_exchange.Reply:
        """Send one request and return its complete response.

        Cancelling the coroutine closes the connection. Raises NotConnected
        if no byte was sent, else ExchangeFailed.
        """
        sink = sink or http_exchange.ResponseSink()
        connection = None if is_fresh else self._pop_idle(address, request)
        if connection is None:
            connection = await self._open(address, deadline)
        timer = self._clock.callLater(
            max(0.0, deadline - self._clock.seconds()),
            connection.fail,
            http_exchange.ExchangeFailed('no whole answer in time'),
        )
        connection.on_buffered = self._count_pending
        self._sinks_by_connection[connection] = sink
        try:
            await connection.send(request, sink, progress_seconds)
        finally:
            del self._sinks_by_connection[connection]
            self._pending_bytes -= sink.buffered
            if timer.active():
                timer.cancel()
            self._release(address, connection)
        assert sink.head is not None
        return http_exchange.Reply(head=sink.head, body=sink.body)

    def _count_pending(self, count: int) -> None:
        """Count buffered bytes; fail the longest response above the limit."""
        self._pending_bytes += count
        if self._pending_bytes <= MAX_PENDING_BYTES:
            return
        longest, sink = max(
            self._sinks_by_connection.items(),
            key=lambda pending: pending[1].buffered,
        )
        longest.fail(
            http_exchange.ExchangeFailed(
                'the body was dropped to free memory after '
                f'{sink.buffered} bytes'
            )
        )

    async def is_refused(self, address: str) -> bool:
        """Return whether no process listens at an address.

        A connection that stays open is pooled for the next request.
        """
        deadline = Instant(self._clock.seconds() + PROBE_SECONDS)
        while True:
            try:
                connection = await self._open(address, deadline)
            except http_exchange.ConnectionRefused:
                return True
            except http_exchange.NotConnected:
                # A network failure does not show that the process has ended.
                return False
            await task.deferLater(self._clock, SETTLE_SECONDS)
            if connection.is_usable(self._clock.seconds()):
                self._release(address, connection)
                return False
            connection.close()

    def has_idle(self, address: str) -> bool:
        """Return whether the pool has a usable connection to an address."""
        now = self._clock.seconds()
        return any(
            connection.is_usable(now)
            for connection in self._idle_by_address.get(address, ())
        )

    def close_idle(self, address: str) -> None:
        """Close the pooled connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    async def _open(
        self, address: str, deadline: Instant
    ) -> http_exchange.Connection:
        host, _, port = address.rpartition(':')
        seconds = min(CONNECT_SECONDS, deadline - self._clock.seconds())
        if seconds <= 0.0:
            raise http_exchange.NotConnected(
                'the deadline passed before connecting'
            )
        opened: defer.Deferred[http_exchange.Connection] = defer.Deferred()
        factory = _ConnectionFactory(self._clock, opened)
        connector = self._clock.connectTCP(
            host, int(port), factory, timeout=seconds
        )
        self._on_open(address)
        try:
            return await opened
        except defer.CancelledError:
            connector.disconnect()
            raise

    def _pop_idle(
        self, address: str, request: http_exchange.OutgoingRequest
    ) -> http_exchange.Connection | None:
        idle = self._idle_by_address.get(address)
        now = self._clock.seconds()
        skipped: list[http_exchange.Connection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_usable(now):
                connection.close()
            elif connection.has_carried(request):
                skipped.append(connection)
            else:
                found = connection
        if idle is not None:
            idle.extend(reversed(skipped))
        return found

    def _release(
        self, address: str, connection: http_exchange.Connection
    ) -> None:
        if not connection.is_usable(self._clock.seconds()):
            connection.close()
            return
        idle = self._idle_by_address[address]
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()


class _ConnectionFactory(protocol.ClientFactory):
    noisy = False

    def __init__(
        self, clock: Any, opened: defer.Deferred[http_exchange.Connection]
    ) -> None:
        self._clock = clock
        self._opened = opened

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> http_exchange.Connection:
        return http_exchange.Connection(self._clock, self._opened)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        if not self._opened.called:
            cause = reason.getErrorMessage()
            is_refused = reason.check(net_error.ConnectionRefusedError)
            error_class = (
                http_exchange.ConnectionRefused
                if is_refused
                else http_exchange.NotConnected
            )
            self._opened.errback(error_class(cause))
