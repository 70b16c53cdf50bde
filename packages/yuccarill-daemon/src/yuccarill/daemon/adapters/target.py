"""Send calls to the targets of services over HTTP."""

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
from yuccarill.core import http_status
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.daemon.adapters import http

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_ANSWER_BYTES = 4 * 1024 * 1024


class TargetRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a target."""

    request_id: RequestId
    path: str
    query: str
    content_type: str
    body: bytes
    # 0 is the highest priority; a target can ignore it.
    priority: int = 0
    # Number of this attempt, from 1; lets a target tell retries from first
    # attempts.
    attempt: int = 1
    # Deadlines for opening the connection and for the complete answer.
    connect_deadline: Instant
    answer_deadline: Instant

    def url(self, address: str) -> str:
        # An unquoted ? or # in the path would reach another path of the
        # target.
        path = urllib.parse.quote(self.path)
        query = f'?{self.query}' if self.query else ''
        return f'http://{address}/{path}{query}'


class TargetReply(msgspec.Struct, frozen=True):
    """A target's answer and its load report."""

    answer: Answer
    report: load.LoadReport | None = None


class TargetAdapter:
    """Send calls, each over a new connection."""

    def __init__(self, now: Callable[[], float], clock: Any = reactor) -> None:
        self._now = now
        self._clock = clock

    async def call(
        self,
        address: str,
        request: TargetRequest,
        on_step: Callable[[Step], None],
    ) -> TargetReply:
        """Send one call and return its complete answer.

        Raises NotRun if no byte was sent, else OutcomeUnknown.
        """
        # A new connection that fails to open has sent nothing. A pooled one
        # can be dead, so a failure on it leaves the outcome unknown.
        connection = _ConnectionTracker(
            self._clock, self._remaining(request.connect_deadline), on_step
        )
        agent = client.Agent.usingEndpointFactory(self._clock, connection)
        try:
            response = await self._limit(
                self._send(agent, address, request), request.answer_deadline
            )
            if not http_status.is_final(response.code):
                raise ValueError(f'{response.code} is no HTTP status')
            on_step(Step.ANSWERING)
            reader = _BodyReader(connection.abort)
            response.deliverBody(reader)
            body = await self._limit(reader.finished, request.answer_deadline)
        except Exception as error:
            connection.abort()
            if not connection.is_open:
                raise errors.NotRun(
                    f'The target at {address} cannot be reached.',
                    retry_after=1.0,
                ) from error
            raise errors.OutcomeUnknown(
                f'The call to the target at {address} failed ({error!r}) and '
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
            # Following a redirect would run the call on an unselected target.
            allow_redirects=False,
            headers={
                'Content-Type': request.content_type,
                'Yuccarill-Request-Id': request.request_id,
                'Yuccarill-Priority': str(request.priority),
                'Yuccarill-Attempt': str(request.attempt),
            },
        )

    def _limit(
        self, deferred: defer.Deferred[Any], deadline: Instant
    ) -> defer.Deferred[Any]:
        return deferred.addTimeout(self._remaining(deadline), self._clock)

    def _remaining(self, deadline: Instant) -> float:
        return max(0.0, deadline - self._now())


def _header(response: Any, name: str) -> str:
    value: str = response.headers.getRawHeaders(name, [''])[0]
    return value


@implementer(iweb.IAgentEndpointFactory)
class _ConnectionTracker:
    """Record when the connection opens; later failures are ambiguous."""

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
        endpoint_class = endpoints.TCP4ClientEndpoint
        if ':' in host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        self._endpoint = endpoint_class(self._clock, host, uri.port)
        return self

    def connect(self, factory: Any) -> Any:
        self._on_step(Step.CONNECTING)
        connecting = self._endpoint.connect(factory)
        connecting.addTimeout(self._seconds, self._clock)
        return connecting.addCallback(self._on_connected)

    def abort(self) -> None:
        """Close the connection at once, if it is open."""
        if self._protocol is not None:
            self._protocol.abort()

    def _on_connected(self, connected: Any) -> Any:
        self._protocol = connected
        self._on_step(Step.SENDING)
        return connected


@implementer(iweb.IBodyProducer)
class _BodyProducer:
    """Write a body from memory in one piece."""

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
    """Collect a body; fail if its end cannot be verified."""

    def __init__(self, abort: Callable[[], None]) -> None:
        self.finished: defer.Deferred[bytes] = defer.Deferred()
        self._abort = abort
        self._parts: list[bytes] = []
        self._received_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parts.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self._abort()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        if self.finished.called:
            return
        # A body without a length or chunks ends like a lost connection;
        # accepting it would return a truncated answer.
        if reason.check(client.ResponseDone):
            self.finished.callback(b''.join(self._parts))
        else:
            self.finished.errback(reason)
