"""A small HTTP server for internal pages."""

from __future__ import annotations

import functools
import io
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.web import http

from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

log = logs.for_part('server')

# Seconds after which an idle connection is closed.
IDLE_SECONDS = 30.0
# Bytes per request body; leaves room for a 1 MB store value in base64.
MAX_BODY_BYTES = 4 * 1024 * 1024


class SmallRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A received request."""

    method: str
    # Path and query, as in the request line.
    target: str
    body: bytes = b''

    @property
    def path(self) -> str:
        return self.target.partition('?')[0]

    @property
    def query(self) -> str:
        return self.target.partition('?')[2]


class SmallResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response."""

    status: int
    content_type: str = 'application/json'
    body: bytes = b'{}'


class SmallServer(http.HTTPFactory):
    """Answer each request with the result of a coroutine."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        handle: Callable[[SmallRequest], Coroutine[Any, Any, SmallResponse]],
    ) -> None:
        super().__init__(reactor=clock)
        self.handle = handle

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        channel = http.HTTPChannel()
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = IDLE_SECONDS
        channel.requestFactory = functools.partial(
            _Request, parsePOSTFormSubmission=False
        )
        return channel

    def log(self, request: Any) -> None:
        """Do nothing; there is no access log."""


class _Request(http.Request):
    def gotLength(self, length: int | None) -> None:  # noqa: N802
        self.content = io.BytesIO()
        if length is None or length > MAX_BODY_BYTES:
            self.channel.loseConnection()

    def process(self) -> None:
        request = SmallRequest(
            method=self.method.decode('latin-1'),
            target=self.uri.decode('latin-1'),
            body=self.content.read(),
        )
        answering = defer.Deferred.fromCoroutine(
            self.channel.factory.handle(request)
        )
        self.notifyFinish().addErrback(lambda _: answering.cancel())
        answering.addCallbacks(self._send_page, self._on_failure)

    def _send_page(self, page: SmallResponse) -> None:
        if self._disconnected:
            return
        self.setResponseCode(page.status)
        self.setHeader(b'Content-Type', page.content_type.encode())
        self.setHeader(b'Content-Length', b'%d' % len(page.body))
        self.write(page.body)
        self.finish()

    def _on_failure(self, failure: Any) -> None:
        if failure.check(defer.CancelledError):
            return
        log.error('Request failed.', cause=failure.getTraceback())
        self._send_page(SmallResponse(status=500))
