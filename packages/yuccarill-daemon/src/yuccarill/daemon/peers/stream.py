"""One stream between two instances, with numbered requests."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.daemon import logs
from yuccarill.wire import frames
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

log = logs.for_part('peers')


class PeerStream(protocol.Protocol):
    """Match replies to requests by number and answer the peer's."""

    def __init__(
        self,
        handle: Callable[[messages.Body], Awaitable[messages.Body]],
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        self._handle = handle
        self._on_lost = on_lost
        self._decoder = frames.Decoder()
        self._numbers = itertools.count(1)
        self._waiting_by_number: dict[int, defer.Deferred[Any]] = {}

    def request(
        self, body: messages.Body, seconds: float
    ) -> defer.Deferred[Any]:
        """Send a request and return its reply.

        Fails with PeerUnavailable if the stream is lost or silent.
        """
        number = next(self._numbers)
        reply: defer.Deferred[Any] = defer.Deferred()
        self._waiting_by_number[number] = reply
        self._send(messages.Envelope(number, False, body))
        reply.addTimeout(seconds, reactor)
        return reply.addBoth(self._settle, number)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            for envelope in self._decoder.feed(data):
                self._dispatch(envelope)
        except errors.FrameInvalid as error:
            log.warning('Invalid frame; stream closed.', cause=error.message)
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._on_lost()
        for reply in list(self._waiting_by_number.values()):
            reply.errback(errors.PeerUnavailable('The stream was lost.'))

    def _dispatch(self, envelope: messages.Envelope) -> None:
        if envelope.is_reply:
            # A reply that came after its request was given up is dropped.
            reply = self._waiting_by_number.get(envelope.number)
            if reply is not None and not reply.called:
                reply.callback(envelope.body)
            return
        defer.ensureDeferred(self._answer(envelope))

    async def _answer(self, envelope: messages.Envelope) -> None:
        try:
            body = await self._handle(envelope.body)
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
        self._send(messages.Envelope(envelope.number, True, body))

    def _settle(self, result: Any, number: int) -> Any:
        self._waiting_by_number.pop(number, None)
        if isinstance(result, messages.Refusal):
            raise errors.by_code(result.code)(result.text, result.retry_after)
        if hasattr(result, 'check') and result.check(defer.TimeoutError):
            raise errors.PeerUnavailable('The peer did not reply in time.')
        return result

    def _send(self, envelope: messages.Envelope) -> None:
        if self.transport is not None and self.connected:
            self.transport.write(frames.encode(envelope))
