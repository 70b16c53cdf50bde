"""Reach plain services' targets over HTTP."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer

from yuccarill.core.calls.attempt import Step
from yuccarill.core.calls.ledger import Answer
from yuccarill.core.calls import load
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.daemon.adapters import http

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_ANSWER_BYTES = 4 * 1024 * 1024


class TargetRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is sent to a target."""

    request_id: RequestId
    path: str
    query: str
    content_type: str
    body: bytes
    # 0 goes before higher ones where the target heeds it.
    priority: int = 0
    # Counts the attempts of one request, so that a target that passes it
    # on can tell an extra attempt from a first one.
    attempt: int = 1
    # Nothing is sent after the first; the answer is awaited to the second.
    connect_by: Instant
    answer_by: Instant

    def url(self, address: str) -> str:
        # A path may hold a quoted ? or #, which unquoted would turn its
        # rest into a query and reach another path of the target.
        path = urllib.parse.quote(self.path)
        query = f'?{self.query}' if self.query else ''
        return f'http://{address}/{path}{query}'


class TargetReply(msgspec.Struct, frozen=True):
    """Hold an answer and what its target said of its load."""

    answer: Answer
    report: load.LoadReport | None = None


class TargetAdapter:
    """Send calls to targets."""

    def __init__(self, now: Callable[[], float], clock: Any = reactor) -> None:
        self._now = now
        self._clock = clock

    async def call(
        self,
        address: str,
        request: TargetRequest,
        on_step: Callable[[Step], None],
    ) -> TargetReply:
        """Send one call and return its whole answer.

        Raises NotRun if no byte was sent, else OutcomeUnknown.
        """
        # A kept connection may have died unseen: bytes written to it leave
        # open whether the call ran. A fresh one tells refused from sent.
        connection = _Connection(
            self._clock, self._left(request.connect_by), on_step
        )
        agent = client.Agent.usingEndpointFactory(self._clock, connection)
        try:
            response = await self._within(
                self._send(agent, address, request), request.answer_by
            )
            on_step(Step.ANSWERING)
            reader = _BodyReader(connection.abort)
            response.deliverBody(reader)
            body = await self._within(reader.finished, request.answer_by)
        except Exception as error:
            connection.abort()
            if not connection.is_open:
                raise errors.NotRun(
                    f'The target at {address} can not be reached.',
                    retry_after=1.0,
                ) from error
            raise errors.OutcomeUnknown(
                f'The target at {address} broke off ({error!r}); the call '
                'may have run.'
            ) from error
        on_step(Step.ANSWERED)
        answer = Answer(response.code, _header(response, 'Content-Type'), body)
        report = load.parse(_header(response, load.HEADER))
        return TargetReply(answer, report)

    def _send(
        self, agent: Any, address: str, request: TargetRequest
    ) -> defer.Deferred[Any]:
        return treq.client.HTTPClient(agent).request(
            'POST',
            request.url(address),
            data=_BodyProducer(request.body),
            unbuffered=True,
            # A redirect is the caller's to follow: here it would run a
            # call on a target that nobody chose.
            allow_redirects=False,
            headers={
                'Content-Type': request.content_type,
                'Yuccarill-Request-Id': request.request_id,
                'Yuccarill-Priority': str(request.priority),
                'Yuccarill-Attempt': str(request.attempt),
            },
        )

    def _within(
        self, deferred: defer.Deferred[Any], deadline: Instant
    ) -> defer.Deferred[Any]:
        return deferred.addTimeout(self._left(deadline), self._clock)

    def _left(self, deadline: Instant) -> float:
        return max(0.0, deadline - self._now())


def _header(response: Any, name: str) -> str:
    value: str = response.headers.getRawHeaders(name, [''])[0]
    return value


@implementer(iweb.IAgentEndpointFactory)
class _Connection:
    """Note when a connection is open, the first point of no return."""

    def __init__(
        self, clock: Any, seconds: float, on_step: Callable[[Step], None]
    ) -> None:
        self._clock = clock
        self._seconds = min(seconds, http.CONNECT_SECONDS)
        self._on_step = on_step
        self._protocol: Any = None

    @property
    def is_open(self) -> bool:
        return self._protocol is not None

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        host = uri.host.decode('ascii').strip('[]')
        kind = endpoints.TCP4ClientEndpoint
        if ':' in host:
            kind = endpoints.TCP6ClientEndpoint
        self._endpoint = kind(self._clock, host, uri.port)
        return self

    def connect(self, factory: Any) -> Any:
        self._on_step(Step.CONNECTING)
        connecting = self._endpoint.connect(factory)
        connecting.addTimeout(self._seconds, self._clock)
        return connecting.addCallback(self._connected)

    def abort(self) -> None:
        """Close at once, so that a silent target holds nothing here."""
        if self._protocol is not None:
            self._protocol.abort()

    def _connected(self, opened: Any) -> Any:
        self._protocol = opened
        self._on_step(Step.SENDING)
        return opened


@implementer(iweb.IBodyProducer)
class _BodyProducer:
    """Write a body that is in memory in one piece."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class _BodyReader(protocol.Protocol):
    """Collect a body and refuse one whose end is not known."""

    def __init__(self, abort: Callable[[], None]) -> None:
        self.finished: defer.Deferred[bytes] = defer.Deferred()
        self._abort = abort
        self._parts: list[bytes] = []
        self._bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parts.append(data)
        self._bytes += len(data)
        if self._bytes > MAX_ANSWER_BYTES:
            self._abort()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        if self.finished.called:
            return
        # An answer with neither a length nor chunks ends as a connection
        # that was cut does; taking it for whole would hand a caller half.
        if reason.check(client.ResponseDone):
            self.finished.callback(b''.join(self._parts))
        else:
            self.finished.errback(reason)
