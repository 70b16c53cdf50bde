"""A stream between two instances, with numbered requests."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.membership import stream_health
from yuccarill.daemon import logs
from yuccarill.daemon.peers import ends
from yuccarill.daemon.peers import outbox
from yuccarill.wire import frames
from yuccarill.wire import messages

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.daemon.peers.local import Local

log = logs.for_part('peers')

HELLO_SECONDS = 2.0
MAX_HELLO_BYTES = 4096
MAX_IN_FLIGHT = 1024


class PeerStream(protocol.Protocol):
    """Send requests, match replies by number and answer the peer."""

    def __init__(
        self, local: Local, addressee: InstanceId | None = None
    ) -> None:
        self._local = local
        # None for an incoming stream.
        self._addressee = addressee
        self._decoder = frames.Decoder()
        self._numbers = itertools.count(1)
        self._replies_by_number: dict[int, defer.Deferred[Any]] = {}
        self._waiting_since: Instant | None = None
        self.incoming_in_flight = 0
        self._received_bytes = 0
        self._end = ends.StreamEnd.LOST
        self._outbox = outbox.Outbox(self._on_progress, self._count_sent)
        self._health = stream_health.StreamHealth(local.policy, self._now())
        self._hello_deadline = Instant(self._now() + HELLO_SECONDS)
        self.is_open = False
        self._is_closing = False
        self.used_at = self._now()
        self.hello: messages.Hello | None = None
        self.opened: defer.Deferred[None] = defer.Deferred()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight in either direction."""
        return bool(self._replies_by_number or self.incoming_in_flight)

    def request(
        self, body: messages.Body, seconds: float
    ) -> defer.Deferred[Any]:
        """Send a request and return its reply.

        Fails with NotRun if no byte was sent, with PeerUnavailable if the
        stream was lost or the reply timed out.
        """
        if not self.is_open:
            return defer.fail(_not_sent_error())
        number = next(self._numbers)
        reply: defer.Deferred[Any] = defer.Deferred()
        try:
            self._outbox.write(number, _frame(number, False, body))
        except errors.Overloaded:
            return defer.fail()
        self.used_at = self._now()
        if not self._replies_by_number:
            self._waiting_since = self.used_at
        self._replies_by_number[number] = reply
        reply.addTimeout(seconds, self._local.clock)
        return reply.addBoth(self._on_result, number)

    def check(self) -> None:
        """Send a heartbeat or close the stream if it is silent."""
        now = self._now()
        if self.hello is None:
            if now >= self._hello_deadline:
                self.close(ends.StreamEnd.NO_HELLO)
            return
        match self._health.check(now, self._waiting_since):
            case stream_health.HealthAction.HEARTBEAT:
                heartbeat = messages.Heartbeat()
                self._outbox.write_immediately(_frame(0, False, heartbeat))
            case stream_health.HealthAction.CLOSE:
                self.close(ends.StreamEnd.SILENT)

    def reset_silence(self) -> None:
        """Restart the silence timeouts after a pause of this process."""
        self._hello_deadline = Instant(self._now() + HELLO_SECONDS)
        self._on_progress()

    def close(self, end: ends.StreamEnd) -> None:
        """Abort the stream and record the cause."""
        if not self._is_closing:
            self._end = end
            self._is_closing = True
        self.is_open = False
        self.transport.abortConnection()

    def connectionMade(self) -> None:  # noqa: N802
        self._outbox.open(self.transport)
        self._local.streams.add(self)
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        if self._addressee is not None:
            hello = self._local.hello(self._addressee)
            self._outbox.write_immediately(_frame(0, False, hello))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._on_progress()
        self._received_bytes += len(data)
        self._local.traffic.received += len(data)
        try:
            for envelope in self._decoder.feed(data):
                self._dispatch(envelope)
            self._check_hello_size()
        except errors.FrameInvalid as error:
            log.warning(
                'Invalid frame closed the stream; compare instance versions.',
                peer=self.hello.instance if self.hello else None,
                cause=error.message,
            )
            self.close(ends.StreamEnd.INVALID_FRAME)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.is_open = False
        self._local.streams.discard(self)
        self._local.ends_by_cause[self._end] += 1
        if self._end not in (ends.StreamEnd.LOST, ends.StreamEnd.IDLE):
            peer = self.hello.instance if self.hello else self._addressee
            log.warning('Stream closed.', peer=peer, cause=self._end.value)
        if self._addressee is not None and not self.opened.called:
            self.opened.errback(
                errors.NotRun(
                    f'The stream was not opened ({self._end.value}).',
                    retry_after=1.0,
                )
            )
        for number, reply in list(self._replies_by_number.items()):
            if not reply.called:
                reply.errback(self._lost_error(number))

    def _dispatch(self, envelope: messages.Envelope) -> None:
        match envelope.body:
            case messages.Hello():
                self._on_hello(envelope.body)
            case _ if self.hello is None:
                raise errors.FrameInvalid('The first message is not a Hello.')
            case messages.Heartbeat():
                if not envelope.is_reply:
                    heartbeat = _frame(0, True, messages.Heartbeat())
                    self._outbox.write_immediately(heartbeat)
            case _ if envelope.is_reply:
                # Drop the reply to a request that has timed out.
                reply = self._replies_by_number.get(envelope.number)
                if reply is not None and not reply.called:
                    reply.callback(envelope.body)
            case _:
                self._serve(envelope)

    def _on_hello(self, hello: messages.Hello) -> None:
        if self.hello is not None:
            raise errors.FrameInvalid('The stream received a second Hello.')
        # Guard against requests to an instance that has reused the address of
        # another one and lacks its state, such as tickets.
        is_addressed_to_self = hello.addressee == self._local.me.id
        is_expected_peer = self._addressee in (None, hello.instance)
        if self._addressee is None:
            answer = self._local.hello(hello.instance)
            self._outbox.write_immediately(_frame(0, True, answer))
        if not (is_addressed_to_self and is_expected_peer):
            self._end = ends.StreamEnd.WRONG_ADDRESSEE
            self.transport.loseConnection()
            return
        self.hello = hello
        self.is_open = True
        if not self.opened.called:
            self.opened.callback(None)

    def _check_hello_size(self) -> None:
        # Limit the buffer of a peer that has not identified itself.
        if self.hello is None and self._received_bytes > MAX_HELLO_BYTES:
            raise errors.FrameInvalid('The first message is too long.')

    def _serve(self, envelope: messages.Envelope) -> None:
        self.used_at = self._now()
        if self.incoming_in_flight >= MAX_IN_FLIGHT:
            body = messages.Refusal(
                code=errors.ResultCode.OVERLOADED,
                text='Too many requests on this stream; try again.',
                retry_after=1.0,
            )
            self._reply(envelope.number, body)
            return
        self.incoming_in_flight += 1
        defer.ensureDeferred(self._answer(envelope))

    async def _answer(self, envelope: messages.Envelope) -> None:
        try:
            body = await self._local.handle(envelope.body)
        except errors.YuccarillError as error:
            body = messages.Refusal(
                code=error.code,
                text=error.message,
                retry_after=error.retry_after,
            )
        except Exception as error:
            log.error('Request failed.', cause=repr(error))
            body = messages.Refusal(
                code=errors.ResultCode.INTERNAL, text='Internal error.'
            )
        self.incoming_in_flight -= 1
        self._reply(envelope.number, body)

    def _reply(self, number: int, body: messages.Body) -> None:
        if not self.is_open:
            return
        try:
            self._outbox.write(('reply', number), _frame(number, True, body))
        except errors.Overloaded:
            # Closing the stream tells the peer at once that the outcome of
            # its request is unknown; dropping the reply would not.
            self.close(ends.StreamEnd.CONGESTED)

    def _on_result(self, result: Any, number: int) -> Any:
        self._replies_by_number.pop(number, None)
        if not self._replies_by_number:
            self._waiting_since = None
        if isinstance(result, messages.Refusal):
            raise errors.error_class_by_code(result.code)(
                result.text, result.retry_after
            )
        if hasattr(result, 'check') and result.check(defer.TimeoutError):
            raise self._lost_error(number)
        return result

    def _lost_error(self, number: int) -> errors.YuccarillError:
        # A queued frame was not sent; any other frame may have arrived.
        if self._outbox.remove_queued(number):
            return _not_sent_error()
        return errors.PeerUnavailable(
            'The peer did not reply; it may have received the request.'
        )

    def _on_progress(self) -> None:
        self._health.on_progress(self._now())

    def _count_sent(self, size: int) -> None:
        self._local.traffic.sent += size

    def _now(self) -> Instant:
        return Instant(self._local.clock.seconds())


def _not_sent_error() -> errors.NotRun:
    return errors.NotRun(
        'The request was not sent; try again.', retry_after=1.0
    )


def _frame(number: int, is_reply: bool, body: messages.Body) -> bytes:
    return frames.encode(messages.Envelope(number, is_reply, body))
