"""Read an engine's stream of chunks and fail if it stalls."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import protocol

from yuccarill.core import decoding
from yuccarill.core import errors
from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Callable


class Chunk(msgspec.Struct, frozen=True):
    """Generated tokens and the weight version that produced them."""

    weight_version: WeightVersion | None = None
    tokens: tuple[decoding.Integer, ...] = ()
    done: bool = False


class TokenStream(protocol.Protocol):
    """Pass on chunks until the final one."""

    def __init__(
        self,
        on_chunk: Callable[[Chunk], None],
        progress_seconds: float,
        clock: Any,
    ) -> None:
        self.finished: defer.Deferred[None] = defer.Deferred(self._on_cancel)
        self._on_chunk = on_chunk
        self._progress_seconds = progress_seconds
        self._partial_line = b''
        self._is_done = False
        self._is_finished = False
        # Guard against a half-open connection, on which the caller would wait
        # until its own deadline.
        self._timer = clock.callLater(
            progress_seconds, self._finish, errors.AnswerCut('Stream stalled.')
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._is_finished:
            return
        self._timer.reset(self._progress_seconds)
        *lines, self._partial_line = (self._partial_line + data).split(b'\n')
        try:
            for line in lines:
                self._handle_line(line)
        except (errors.YuccarillError, msgspec.MsgspecError) as error:
            self._finish(error)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        # Only a final chunk, not the connection's end, shows that the stream
        # is complete.
        self.transport = None
        truncated = errors.AnswerCut('Stream ended before its final chunk.')
        self._finish(None if self._is_done else truncated)

    def _handle_line(self, line: bytes) -> None:
        chunk = decoding.from_json(line, Chunk)
        self._is_done = self._is_done or chunk.done
        if chunk.tokens:
            self._on_chunk(chunk)

    def _on_cancel(self, _: object) -> None:
        self._is_finished = True
        self._close()

    def _finish(self, error: Exception | None) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._close()
        if error is None:
            self.finished.callback(None)
        else:
            self.finished.errback(error)

    def _close(self) -> None:
        if self._timer.active():
            self._timer.cancel()
        # The engine stops generating when its connection closes.
        transport, self.transport = self.transport, None
        if not self._is_done and transport is not None:
            transport.loseConnection()
