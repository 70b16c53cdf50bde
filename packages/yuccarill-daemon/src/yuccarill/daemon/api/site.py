"""Serve HTTP with a limit on the request body size."""

from __future__ import annotations

import io
from typing import Any

import msgspec
from twisted.web import server

from yuccarill.core import errors
from yuccarill.daemon.api import draining
from yuccarill.daemon.api import replies
from yuccarill.daemon import logs

log = logs.for_part('api')

_REFUSAL_HEAD = (
    'HTTP/1.1 {status} {name}\r\n'
    'Content-Type: application/json\r\n'
    'Content-Length: {length}\r\n'
    'Connection: close\r\n\r\n'
)


class BoundedRequest(server.Request):
    """Reject a body as soon as it exceeds the limit."""

    _received = 0
    _is_rejected = False
    _is_counted = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Handle the Content-Length, None for a chunked body."""
        # The base class spools long bodies to a file; most instances have no
        # disk, and the limit fits in memory.
        self.content = io.BytesIO()
        self._is_counted = True
        # The channel is unset once the connection is lost.
        self._site = self.channel.site
        self._site.begin(self)
        if length is not None and length > replies.MAX_BODY_BYTES:
            self._reject(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Handle a part of the body."""
        if self._is_rejected:
            return
        # Guard against an endless chunked body that fills the memory.
        self._received += len(data)
        if self._received > replies.MAX_BODY_BYTES:
            self._reject(self._received)
        else:
            self.content.write(data)

    def process(self) -> None:
        """Handle a complete request, unless its body was rejected."""
        if self._is_rejected:
            return
        try:
            self._site.check(self)
        except errors.YuccarillError as error:
            self.write(replies.as_error(self, error))
            self.finish()
        else:
            super().process()

    def finish(self) -> None:
        """Finish the response."""
        self._count_end()
        super().finish()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Handle a connection lost before the response is complete."""
        self._count_end()
        super().connectionLost(reason)

    def _count_end(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._site.end()

    def _reject(self, length: int) -> None:
        self._is_rejected = True
        self.content = io.BytesIO()
        error = replies.body_too_long()
        log.info('Request body was rejected.', length=length, code=error.code)
        body = msgspec.json.encode(replies.describe(error))
        head = _REFUSAL_HEAD.format(
            status=error.http_status,
            name=errors.BodyTooLong.__name__,
            length=len(body),
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.loseConnection()


def build(resource: Any) -> draining.DrainingSite:
    """Return the site that serves a resource tree."""
    # The interfaces use no forms; parsing large ones before the handler runs
    # would waste CPU.
    return draining.DrainingSite(
        resource, BoundedRequest, parsePOSTFormSubmission=False
    )
