"""Log writes with their outcomes, and delay writes on demand."""

from __future__ import annotations

import collections
import enum

import msgspec
from twisted.internet import defer

MAX_LOGGED_WRITES = 1000


class WriteOutcome(enum.Enum):
    """Outcome of a write in the store, whatever reply the client got."""

    WRITTEN = 'written'
    REPLY_LOST = 'reply lost'
    # The key did not have the expected version.
    REFUSED = 'refused'


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """One executed or refused write."""

    key: str
    expected: int | None
    # Version of the key after the write.
    version: int
    outcome: WriteOutcome


class WriteLog:
    """Latest writes, and writes that are held back."""

    def __init__(self) -> None:
        self._writes: collections.deque[Write] = collections.deque(
            maxlen=MAX_LOGGED_WRITES
        )
        self._held: list[tuple[str, defer.Deferred[None]]] = []

    def add(self, write: Write) -> None:
        """Record an executed or refused write."""
        self._writes.append(write)

    def with_prefix(self, prefix: str) -> list[Write]:
        """Return the writes of keys that begin with a prefix."""
        return [
            write for write in self._writes if write.key.startswith(prefix)
        ]

    def held_keys(self) -> list[str]:
        return [key for key, _ in self._held]

    def hold(self, key: str) -> defer.Deferred[None]:
        """Return a deferred that fires when held writes are released."""
        released: defer.Deferred[None] = defer.Deferred()
        self._held.append((key, released))
        return released

    def release(self) -> None:
        """Release held writes, the oldest first."""
        held, self._held = self._held, []
        for _, released in held:
            released.callback(None)
