"""Read an engine's stream of chunks and notice when it goes silent."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import protocol

from yuccarill.core import errors
from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Callable


class Chunk(msgspec.Struct, frozen=True):
    """Hold tokens and the weight version that the engine reports."""

    weight_version: WeightVersion | None = None
    tokens: tuple[int, ...] = ()
    done: bool = False


_decoder = msgspec.json.Decoder(Chunk)


class TokenStream(protocol.Protocol):
    """Hand on chunks until the engine says done."""

    def __init__(
        self,
        on_chunk: Callable[[Chunk], None],
        progress_seconds: float,
        clock: Any,
    ) -> None:
        self.finished: defer.Deferred[None] = defer.Deferred(self._cancel)
        self._on_chunk = on_chunk
        self._seconds = progress_seconds
        self._rest = b''
        self._is_done = False
        self._is_over = False
        # A stream whose connection was forgotten by something in between
        # stays open with no byte for good; its caller would wait until its
        # own deadline. Engines make tokens many times in this time.
        self._timer = clock.callLater(
            progress_seconds, self._end, errors.AnswerCut('It went silent.')
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._is_over:
            return
        self._timer.reset(self._seconds)
        *lines, self._rest = (self._rest + data).split(b'\n')
        try:
            for line in lines:
                self._take(line)
        except (errors.YuccarillError, msgspec.MsgspecError) as error:
            self._end(error)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        # The line that says done, not the end of the connection, tells a
        # whole answer from one that was cut.
        self.transport = None
        cut = errors.AnswerCut('It ended before it was done.')
        self._end(None if self._is_done else cut)

    def _take(self, line: bytes) -> None:
        chunk = _decoder.decode(line)
        self._is_done = self._is_done or chunk.done
        if chunk.tokens:
            self._on_chunk(chunk)

    def _cancel(self, _: object) -> None:
        self._is_over = True
        self._close()

    def _end(self, error: Exception | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._close()
        if error is None:
            self.finished.callback(None)
        else:
            self.finished.errback(error)

    def _close(self) -> None:
        if self._timer.active():
            self._timer.cancel()
        # The engine stops making tokens when its connection closes.
        transport, self.transport = self.transport, None
        if not self._is_done and transport is not None:
            transport.loseConnection()
