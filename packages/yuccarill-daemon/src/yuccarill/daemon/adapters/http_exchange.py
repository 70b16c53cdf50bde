"""Carry HTTP exchanges over one connection, one after the other.

treq and Twisted's agent hide which connection carries a request. Whether a
request may have run, and whether an answer is whole, depends on it: h11 reads
and writes the messages, and what is sent and read is decided here.
"""

from __future__ import annotations

from typing import Any
from typing import Protocol

import h11
import msgspec
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.internet import protocol

from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import keepalive

# Seconds that an idle connection is kept where its server names no time.
IDLE_SECONDS = 8.0
# Part of the server's own idle time after which a connection is not used
# again, so that a request hardly ever crosses the server's close.
IDLE_PART = 0.7
_EVENT_BYTES = 64 * 1024


class NotConnected(Exception):
    """Report that no byte of a request was sent."""


class ConnectionRefused(NotConnected):
    """Report an address at which no process listens."""


class ExchangeBroken(Exception):
    """Report a request that was sent and has no whole answer."""


class ConnectionLost(ExchangeBroken):
    """Report a connection that ended before the answer did."""


class SinkRefused(Exception):
    """Raised by a sink for an answer that it can not take."""


class OutgoingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request as it goes out."""

    method: str
    # Path and query as they stand in the request line.
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class ReplyHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the status and headers of an answer."""

    status: int
    # Names in lower case.
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str | None:
        """Return the first value of a header by its lower-case name."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a whole answer."""

    head: ReplyHead
    body: bytes


class StreamSink:
    """Take an answer as it arrives; the base class collects it."""

    def __init__(self) -> None:
        self.head: ReplyHead | None = None
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        # Joined once: a long answer is there twice meanwhile.
        if len(self._parts) > 1:
            self._parts = [b''.join(self._parts)]
        return self._parts[0] if self._parts else b''

    def attach(self, reading: Reading) -> None:
        """Take what can pause the answer."""

    def begin(self, head: ReplyHead) -> None:
        """Take the head.

        May raise SinkRefused, as `receive` may.
        """
        self.head = head

    def receive(self, data: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(data)


class Reading(Protocol):
    """Let an answer wait at its server."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Connection(protocol.Protocol):
    """Carry one exchange after the other."""

    def __init__(self, clock: Any, opened: defer.Deferred[Connection]) -> None:
        self._clock = clock
        self._opened = opened
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_EVENT_BYTES
        )
        self._sink: StreamSink | None = None
        self._finished: defer.Deferred[None] | None = None
        self._progress_seconds: float | None = None
        self._progress: Any = None
        self._is_open = False
        self._is_clean = True
        self._is_paused = False
        self._usable_until = Instant(0.0)

    def connectionMade(self) -> None:  # noqa: N802
        self._is_open = True
        self.transport.setTcpNoDelay(True)
        keepalive.watch_for_silence(self.transport.getHandle())
        self._usable_until = Instant(self._clock.seconds() + IDLE_SECONDS)
        if self._opened.called:
            self.transport.abortConnection()
        else:
            self._opened.callback(self)

    def is_usable(self, now: Instant) -> bool:
        return (
            self._is_open
            and self._is_clean
            and self._finished is None
            and now < self._usable_until
        )

    def send(
        self,
        request: OutgoingRequest,
        sink: StreamSink,
        progress_seconds: float | None,
    ) -> defer.Deferred[None]:
        """Send a request; the result fires with the answer's end."""
        self._sink = sink
        self._progress_seconds = progress_seconds
        self._finished = defer.Deferred(self._cancel)
        finished = self._finished
        try:
            parts = self._write(request)
        except h11.LocalProtocolError as error:
            self._is_clean = False
            self._finish(NotConnected(f'the request is not valid: {error}'))
            return finished
        # The transport joins them; a long body is not copied here as well.
        self.transport.writeSequence(parts)
        self._watch_progress()
        sink.attach(self)
        return finished

    def pause(self) -> None:
        """Read no more of the answer until its taker goes on."""
        if self._finished is None or self._is_paused:
            return
        self._is_paused = True
        # Nothing is heard while nothing is read; the server is not silent.
        self._stop_progress()
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if not self._is_paused:
            return
        self._is_paused = False
        if self._is_open:
            self.transport.resumeProducing()
        if self._finished is not None:
            self._watch_progress()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._finished is None:
            # Bytes that no request asked for: the server's late extra
            # answer would be taken for that of the next request.
            self.close()
            return
        self._watch_progress()
        self._read(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._is_open = False
        if self._finished is None:
            return
        # Only an orderly close may end a body that has no length: a reset
        # looks the same to a parser and would pass half an answer for
        # whole.
        if reason.check(net_error.ConnectionDone):
            self._read(b'')
        self.fail(ConnectionLost(f'connection lost: {reason.value}'))

    def fail(self, error: Exception) -> None:
        """End the exchange with an error and close."""
        self._is_clean = False
        self._finish(error)
        self.close()

    def close(self) -> None:
        """Close at once; nothing of the exchange goes on."""
        self._is_clean = False
        if self._is_open:
            self.transport.abortConnection()

    def _write(self, request: OutgoingRequest) -> list[bytes]:
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

    def _read(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._finished is not None:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            if not self._is_open:
                # h11 names its own state there, not that the answer ended.
                return
            self.fail(ExchangeBroken(f'the answer is not valid: {error}'))
        except SinkRefused as error:
            self.fail(ExchangeBroken(str(error)))

    def _take(self, event: Any) -> None:
        assert self._sink is not None
        match event:
            case h11.Response():
                self._sink.begin(_head(event))
            case h11.Data():
                self._sink.receive(bytes(event.data))
            case h11.EndOfMessage():
                self._end()
            case h11.ConnectionClosed():
                self.fail(ConnectionLost('closed without an answer'))
            case _:
                pass

    def _end(self) -> None:
        states = {self._http.our_state, self._http.their_state}
        trailing, _ = self._http.trailing_data
        assert self._sink is not None
        head = self._sink.head
        if states == {h11.DONE} and not trailing and self._is_open:
            self._http.start_next_cycle()
            self._usable_until = self._idle_end(head)
        else:
            self._is_clean = False
        self._finish(None)

    def _idle_end(self, head: ReplyHead | None) -> Instant:
        seconds = IDLE_SECONDS
        text = head.header('keep-alive') if head else None
        for part in (text or '').split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() == 'timeout' and value.isdecimal():
                seconds = IDLE_PART * int(value)
        return Instant(self._clock.seconds() + seconds)

    def _finish(self, error: Exception | None) -> None:
        finished, self._finished = self._finished, None
        self._sink = None
        self._stop_progress()
        self.resume()
        if finished is None or finished.called:
            return
        if error is None:
            finished.callback(None)
        else:
            finished.errback(error)

    def _cancel(self, _: object) -> None:
        self._finished = None
        self._finish(None)
        self.close()

    def _stop_progress(self) -> None:
        progress, self._progress = self._progress, None
        if progress is not None and progress.active():
            progress.cancel()

    def _watch_progress(self) -> None:
        if self._progress_seconds is None or self._is_paused:
            return
        if self._progress is not None and self._progress.active():
            self._progress.reset(self._progress_seconds)
            return
        self._progress = self._clock.callLater(
            self._progress_seconds,
            self.fail,
            ExchangeBroken('the answer went silent'),
        )


def _head(response: h11.Response) -> ReplyHead:
    return ReplyHead(
        status=response.status_code,
        headers=tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in response.headers
        ),
    )
