"""Serve small HTTP pages beside the clients' port."""

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

# Seconds for which an idle connection is kept.
IDLE_SECONDS = 30.0
# Bytes of one body; a store's value of a megabyte takes 1.4 as base64.
MAX_BODY_BYTES = 4 * 1024 * 1024


class SmallRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request."""

    method: str
    # Path and query as they came.
    target: str
    body: bytes = b''

    @property
    def path(self) -> str:
        return self.target.partition('?')[0]

    @property
    def query(self) -> str:
        return self.target.partition('?')[2]


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one answer."""

    status: int
    content_type: str = 'application/json'
    body: bytes = b'{}'


class SmallServer(http.HTTPFactory):
    """Answer each request by one coroutine."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        handle: Callable[[SmallRequest], Coroutine[Any, Any, Page]],
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
        """Write no access log."""


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
        work = defer.Deferred.fromCoroutine(
            self.channel.factory.handle(request)
        )
        self.notifyFinish().addErrback(lambda _: work.cancel())
        work.addCallbacks(self._answer, self._failed)

    def _answer(self, page: Page) -> None:
        if self._disconnected:
            return
        self.setResponseCode(page.status)
        self.setHeader(b'Content-Type', page.content_type.encode())
        self.setHeader(b'Content-Length', b'%d' % len(page.body))
        self.write(page.body)
        self.finish()

    def _failed(self, failure: Any) -> None:
        if failure.check(defer.CancelledError):
            return
        log.error('Page failed.', cause=failure.getTraceback())
        self._answer(Page(status=500))
