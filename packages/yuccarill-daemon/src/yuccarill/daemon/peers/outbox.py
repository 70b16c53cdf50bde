"""Hold back what a stream's transport can't take yet."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import interfaces
from zope.interface import implementer

from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HELD_BYTES = 32 * 1024 * 1024


@implementer(interfaces.IPushProducer)
class Outbox:
    """Write frames in order while the transport takes them."""

    def __init__(
        self,
        on_drained: Callable[[], None],
        count: Callable[[int], None] = lambda size: None,
        max_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self._on_drained = on_drained
        self._count = count
        self._max_bytes = max_bytes
        self._transport: Any = None
        self._is_paused = False
        self._held_bytes = 0
        self._frames_by_key: dict[object, bytes] = {}

    def open(self, transport: Any) -> None:
        """Begin to write to a transport."""
        self._transport = transport
        transport.registerProducer(self, True)

    def write(self, key: object, frame: bytes) -> None:
        """Send a frame, now or in its turn.

        Raises Overloaded if too many bytes wait already.
        """
        if not self._is_paused:
            self._send(frame)
            return
        # A peer that reads slower than this process writes would have its
        # frames pile up here until the process is out of memory.
        if self._held_bytes + len(frame) > self._max_bytes:
            raise errors.Overloaded(
                'The stream to the peer is congested; try again.',
                retry_after=1.0,
            )
        self._frames_by_key[key] = frame
        self._held_bytes += len(frame)

    def write_at_once(self, frame: bytes) -> None:
        """Send a small frame ahead of those held back."""
        self._send(frame)

    def withdraw(self, key: object) -> bool:
        """Take back a frame; tell whether none of its bytes was sent."""
        frame = self._frames_by_key.pop(key, None)
        if frame is None:
            return False
        self._held_bytes -= len(frame)
        return True

    def pauseProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self._is_paused = False
        self._on_drained()
        while self._frames_by_key and not self._is_paused:
            key = next(iter(self._frames_by_key))
            frame = self._frames_by_key.pop(key)
            self._held_bytes -= len(frame)
            self._send(frame)

    def stopProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def _send(self, frame: bytes) -> None:
        self._count(len(frame))
        self._transport.write(frame)
