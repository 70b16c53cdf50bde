"""Send HTTP requests over one connection, one at a time.

treq and Twisted's agent hide which connection carries a request. Whether a
request may have run and whether a response is complete depends on the
connection, so this module controls the socket and h11 encodes the messages.
"""

from __future__ import annotations

import collections
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import h11
import msgspec
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.internet import protocol

from yuccarill.core import decoding
from yuccarill.core import http_status
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import keepalive

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds to keep an idle connection if its server sends no Keep-Alive timeout.
IDLE_SECONDS = 8.0
# Fraction of the server's idle timeout after which a connection is not reused,
# to avoid a request racing with the server's close.
IDLE_FRACTION = 0.7
_MAX_HEAD_BYTES = 64 * 1024
# Bytes of a body that a sink buffers; a server can send bytes without end.
MAX_BODY_BYTES = 16 << 20
# Ids of requests that a connection remembers; a late copy of a response comes
# soon after it.
MAX_CARRIED_IDS = 64
# Interim responses (1xx) per request; they can come without end as well.
MAX_INTERIM_RESPONSES = 16


class NotConnected(Exception):
    """Raised if no byte of a request was sent."""


class ConnectionRefused(NotConnected):
    """Raised if no process listens at an address."""


class ExchangeFailed(Exception):
    """Raised if a request was sent and got no complete response."""


class ConnectionLost(ExchangeFailed):
    """Raised if a connection ended before the response was complete."""


class ResponseRejected(Exception):
    """Raised by a sink that rejects a response."""


class OutgoingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An outgoing request."""

    method: str
    # Path and query, as in the request line.
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    # The same for all attempts of one request; None if answers have no id.
    id: str | None = None


class ReplyHead(msgspec.Struct, frozen=True, kw_only=True):
    """The status and headers of a response."""

    status: int
    # Header names are in lower case.
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by lower-case name."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response."""

    head: ReplyHead
    body: bytes


class ResponseSink:
    """Receive a response in parts; this base class buffers the body."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.head: ReplyHead | None = None
        self._max_body_bytes = max_body_bytes
        self._parts: list[bytes] = []
        # Bytes of the body that are buffered here.
        self.buffered = 0
        # The connection has carried other requests, so the response may be a
        # late copy of an earlier one.
        self.is_connection_reused = False

    @property
    def body(self) -> bytes:
        # Keep only the joined body: each join briefly doubles its memory.
        if len(self._parts) > 1:
            self._parts = [b''.join(self._parts)]
        return self._parts[0] if self._parts else b''

    def set_read_control(self, reading: ReadControl) -> None:
        """Accept the handle that pauses and resumes reading."""

    def receive_head(self, head: ReplyHead) -> None:
        """Accept the response head.

        Raises ResponseRejected, as does `receive`.
        """
        self.head = head

    def receive(self, data: bytes) -> bool:
        """Accept a part of the body; return whether it is progress.

        A server that makes no progress is abandoned after a time.
        """
        self.buffered += len(data)
        if self.buffered > self._max_body_bytes:
            raise ResponseRejected(
                f'the body is longer than {self._max_body_bytes} bytes'
            )
        self._parts.append(data)
        return True


class ReadControl(Protocol):
    """Control of the flow of a response, for back pressure."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Connection(protocol.Protocol):
    """Send requests over one connection, one at a time."""

    def __init__(self, clock: Any, opened: defer.Deferred[Connection]) -> None:
        self._clock = clock
        self._opened = opened
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._sink: ResponseSink | None = None
        self._finished: defer.Deferred[None] | None = None
        self._progress_seconds: float | None = None
        self._progress_timer: Any = None
        self._interim_responses = 0
        self._carried_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED_IDS
        )
        self._is_unused = True
        self._is_open = False
        self._is_reusable = True
        self._is_paused = False
        # Called with the number of bytes that a sink has just buffered.
        self.on_buffered: Callable[[int], None] = lambda count: None
        self._usable_until = Instant(0.0)

    def connectionMade(self) -> None:  # noqa: N802
        self._is_open = True
        self.transport.setTcpNoDelay(True)
        keepalive.enable_keepalive(self.transport.getHandle())
        self._usable_until = Instant(self._clock.seconds() + IDLE_SECONDS)
        if self._opened.called:
            self.transport.abortConnection()
        else:
            self._opened.callback(self)

    def is_usable(self, now: Instant) -> bool:
        return (
            self._is_open
            and self._is_reusable
            and self._finished is None
            and now < self._usable_until
        )

    def has_carried(self, request: OutgoingRequest) -> bool:
        """Return whether an earlier attempt of a request was sent here.

        A late copy of its response would answer the next attempt.
        """
        return request.id is not None and request.id in self._carried_ids

    def send(
        self,
        request: OutgoingRequest,
        sink: ResponseSink,
        progress_seconds: float | None,
    ) -> defer.Deferred[None]:
        """Send a request; the Deferred fires when the response is complete."""
        self._sink = sink
        sink.is_connection_reused = not self._is_unused
        self._is_unused = False
        if request.id is not None:
            self._carried_ids.append(request.id)
        self._interim_responses = 0
        self._progress_seconds = progress_seconds
        self._finished = defer.Deferred(self._on_cancel)
        finished = self._finished
        try:
            parts = self._encode(request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self._is_reusable = False
            self._finish(NotConnected(f'invalid request: {error}'))
            return finished
        # The transport joins the parts, which saves a copy of a long body.
        self.transport.writeSequence(parts)
        self._restart_progress_timer()
        sink.set_read_control(self)
        return finished

    def pause(self) -> None:
        """Stop reading the response until `resume`."""
        if self._finished is None or self._is_paused:
            return
        self._is_paused = True
        # No data can arrive while reading is paused, even from a live server.
        self._stop_progress_timer()
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading the response."""
        if not self._is_paused:
            return
        self._is_paused = False
        if self._is_open:
            self.transport.resumeProducing()
        if self._finished is not None:
            self._restart_progress_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._finished is None:
            # Unsolicited bytes would be read as the response to the next
            # request.
            self.close()
            return
        self._decode(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._is_open = False
        if self._finished is None:
            return
        # Only an orderly close ends a body without a length: h11 can't tell
        # a reset from it and would accept a truncated response.
        if reason.check(net_error.ConnectionDone):
            self._decode(b'')
        self.fail(ConnectionLost(f'connection lost: {reason.value}'))

    def fail(self, error: Exception) -> None:
        """Fail the current request and close the connection."""
        self._is_reusable = False
        self._finish(error)
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._is_reusable = False
        if self._is_open:
            self.transport.abortConnection()

    def _encode(self, request: OutgoingRequest) -> list[bytes]:
        headers = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in request.headers
        ]
        if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
            length = str(len(request.body)).encode()
            headers.append((b'Content-Length', length))
        head = h11.Request(
            method=request.method,
            target=request.target.encode('latin-1'),
            headers=headers,
        )
        parts = [self._http.send(head) or b'']
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)) or b'')
        parts.append(self._http.send(h11.EndOfMessage()) or b'')
        return [part for part in parts if part]

    def _decode(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._finished is not None:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            if not self._is_open:
                # h11 reports its own state, not the connection's end.
                return
            self.fail(ExchangeFailed(f'invalid HTTP response: {error}'))
        except ResponseRejected as error:
            self.fail(ExchangeFailed(str(error)))

    def _handle_event(self, event: Any) -> None:
        assert self._sink is not None
        match event:
            case h11.InformationalResponse():
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    raise ResponseRejected('too many interim responses')
            case h11.Response(status_code=status):
                if not http_status.is_final(status):
                    raise ResponseRejected(f'{status} is no HTTP status')
                self._sink.receive_head(_reply_head(event))
                self._restart_progress_timer()
            case h11.Data():
                before = self._sink.buffered
                if self._sink.receive(bytes(event.data)):
                    self._restart_progress_timer()
                if self._sink.buffered > before:
                    self.on_buffered(self._sink.buffered - before)
            case h11.EndOfMessage():
                self._on_message_end()
            case h11.ConnectionClosed():
                self.fail(ConnectionLost('server closed without a response'))
            case _:
                pass

    def _on_message_end(self) -> None:
        states = {self._http.our_state, self._http.their_state}
        trailing, _ = self._http.trailing_data
        assert self._sink is not None
        head = self._sink.head
        if states == {h11.DONE} and not trailing and self._is_open:
            self._http.start_next_cycle()
            self._usable_until = self._idle_deadline(head)
        else:
            self._is_reusable = False
        self._finish(None)

    def _idle_deadline(self, head: ReplyHead | None) -> Instant:
        seconds = IDLE_SECONDS
        text = head.header('keep-alive') if head else None
        for part in (text or '').split(','):
            name, _, value = part.strip().partition('=')
            timeout = decoding.parse_decimal(value)
            if name.lower() == 'timeout' and timeout is not None:
                seconds = IDLE_FRACTION * timeout
        return Instant(self._clock.seconds() + seconds)

    def _finish(self, error: Exception | None) -> None:
        finished, self._finished = self._finished, None
        self._sink = None
        self._stop_progress_timer()
        self.resume()
        if finished is None or finished.called:
            return
        if error is None:
            finished.callback(None)
        else:
            finished.errback(error)

    def _on_cancel(self, _: object) -> None:
        self._finished = None
        self._finish(None)
        self.close()

    def _stop_progress_timer(self) -> None:
        timer, self._progress_timer = self._progress_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _restart_progress_timer(self) -> None:
        if self._progress_seconds is None or self._is_paused:
            return
        if self._progress_timer is not None and self._progress_timer.active():
            self._progress_timer.reset(self._progress_seconds)
            return
        self._progress_timer = self._clock.callLater(
            self._progress_seconds,
            self.fail,
            ExchangeFailed('the response stalled'),
        )


def _reply_head(response: h11.Response) -> ReplyHead:
    return ReplyHead(
        status=response.status_code,
        headers=tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in response.headers
        ),
    )
