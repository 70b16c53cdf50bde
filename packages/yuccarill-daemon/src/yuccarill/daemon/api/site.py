"""Serve HTTP with a bound on what one request may bring."""

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
    """Refuse a body while it arrives, once it is over the limit."""

    _received = 0
    _is_refused = False
    _is_counted = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Take the announced length, none if the body comes in chunks."""
        # The base class keeps long bodies in a file. Most instances have no
        # disk, and the limit is small enough for memory.
        self.content = io.BytesIO()
        self._is_counted = True
        # The channel is gone once the connection is lost.
        self._site = self.channel.site
        self._site.begin(self)
        if length is not None and length > replies.MAX_BODY_BYTES:
            self._refuse(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
        if self._is_refused:
            return
        # A body in chunks announces no length, and its end may never come:
        # without a count it would fill this process's memory.
        self._received += len(data)
        if self._received > replies.MAX_BODY_BYTES:
            self._refuse(self._received)
        else:
            self.content.write(data)

    def process(self) -> None:
        """Answer, unless the request is refused already."""
        if self._is_refused:
            return
        try:
            self._site.check(self)
        except errors.YuccarillError as error:
            self.write(replies.as_error(self, error))
            self.finish()
        else:
            super().process()

    def finish(self) -> None:
        """End the answer."""
        self._end()
        super().finish()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Take the loss of the connection before the answer's end."""
        self._end()
        super().connectionLost(reason)

    def _end(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._site.end()

    def _refuse(self, length: int) -> None:
        self._is_refused = True
        self.content = io.BytesIO()
        error = replies.body_too_long()
        log.info('Body refused.', length=length, code=error.code)
        body = msgspec.json.encode(replies.describe(error))
        head = _REFUSAL_HEAD.format(
            status=error.http_status,
            name=errors.BodyTooLong.__name__,
            length=len(body),
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.loseConnection()


def build(resource: Any) -> draining.DrainingSite:
    """Return the site that serves a tree of resources."""
    # Forms are no part of the interfaces; the library would parse
    # megabytes of them before any handler saw the request.
    return draining.DrainingSite(
        resource, BoundedRequest, parsePOSTFormSubmission=False
    )
