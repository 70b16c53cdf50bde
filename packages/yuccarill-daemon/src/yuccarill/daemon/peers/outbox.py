"""Queue frames while a stream's transport is paused."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import interfaces
from zope.interface import implementer

from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_QUEUED_BYTES = 32 * 1024 * 1024


@implementer(interfaces.IPushProducer)
class Outbox:
    """Write frames in order; queue them while the transport is paused."""

    def __init__(
        self,
        on_drained: Callable[[], None],
        on_sent: Callable[[int], None] = lambda size: None,
        max_bytes: int = MAX_QUEUED_BYTES,
    ) -> None:
        self._on_drained = on_drained
        self._on_sent = on_sent
        self._max_bytes = max_bytes
        self._transport: Any = None
        self._is_paused = False
        self._queued_bytes = 0
        self._frames_by_key: dict[object, bytes] = {}

    def open(self, transport: Any) -> None:
        """Start writing to a transport."""
        self._transport = transport
        transport.registerProducer(self, True)

    def write(self, key: object, frame: bytes) -> None:
        """Send a frame, or queue it while the transport is paused.

        Raises Overloaded if the queue is full.
        """
        if not self._is_paused:
            self._send(frame)
            return
        # Limit the memory that frames queued for a slow peer use.
        if self._queued_bytes + len(frame) > self._max_bytes:
            raise errors.Overloaded(
                'The stream to the peer is congested; try again.',
                retry_after=1.0,
            )
        self._frames_by_key[key] = frame
        self._queued_bytes += len(frame)

    def write_immediately(self, frame: bytes) -> None:
        """Send a small frame ahead of the queued ones."""
        self._send(frame)

    def remove_queued(self, key: object) -> bool:
        """Remove a queued frame; return whether it was still queued."""
        frame = self._frames_by_key.pop(key, None)
        if frame is None:
            return False
        self._queued_bytes -= len(frame)
        return True

    def pauseProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self._is_paused = False
        self._on_drained()
        while self._frames_by_key and not self._is_paused:
            key = next(iter(self._frames_by_key))
            frame = self._frames_by_key.pop(key)
            self._queued_bytes -= len(frame)
            self._send(frame)

    def stopProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def _send(self, frame: bytes) -> None:
        self._on_sent(len(frame))
        self._transport.write(frame)
