"""Record what became of writes, and hold some back by order."""

from __future__ import annotations

import collections
import enum

import msgspec
from twisted.internet import defer

MAX_RECORDED = 1000


class WriteOutcome(enum.Enum):
    """Say what became of a write, whatever its sender was told."""

    WRITTEN = 'written'
    REPLY_LOST = 'reply lost'
    # The key's version was not the expected one.
    REFUSED = 'refused'


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """Record one write in the order in which they were carried out."""

    key: str
    expected: int | None
    # The version that stands after the write.
    version: int
    outcome: WriteOutcome


class WriteRecord:
    """Keep the last writes and those that are held back."""

    def __init__(self) -> None:
        self._writes: collections.deque[Write] = collections.deque(
            maxlen=MAX_RECORDED
        )
        self._held: list[tuple[str, defer.Deferred[None]]] = []

    def note(self, write: Write) -> None:
        """Record a write that was carried out or refused."""
        self._writes.append(write)

    def of(self, prefix: str) -> list[Write]:
        """Return the writes of keys that begin with a prefix."""
        return [
            write for write in self._writes if write.key.startswith(prefix)
        ]

    def held(self) -> list[str]:
        """Return the keys whose writes are held back."""
        return [key for key, _ in self._held]

    def hold(self, key: str) -> defer.Deferred[None]:
        """Wait until held writes are released."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self._held.append((key, waiting))
        return waiting

    def release(self) -> None:
        """Let held writes go on, the oldest first."""
        held, self._held = self._held, []
        for _, waiting in held:
            waiting.callback(None)
