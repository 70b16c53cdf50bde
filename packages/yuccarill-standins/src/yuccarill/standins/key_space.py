"""Versioned keys in memory, with watches and leases."""

from __future__ import annotations

import collections
import itertools

from twisted.internet import defer
from twisted.internet import reactor


class KeySpace:
    """Values by key; an absent key has version 0."""

    def __init__(self) -> None:
        self._values_by_key: dict[str, tuple[int, bytes]] = {}
        self._versions = itertools.count(1)
        self._watchers_by_key: dict[str, set[defer.Deferred[None]]] = (
            collections.defaultdict(set)
        )

    def get(self, key: str) -> tuple[int, bytes]:
        """Return a key's version and value."""
        return self._values_by_key.get(key, (0, b''))

    def version(self, key: str) -> int:
        return self.get(key)[0]

    def versions(self, prefix: str) -> dict[str, int]:
        """Return the versions of the keys that begin with a prefix."""
        return {
            key: version
            for key, (version, _) in sorted(self._values_by_key.items())
            if key.startswith(prefix)
        }

    def put(
        self, key: str, value: bytes | None, lease_seconds: float | None = None
    ) -> int:
        """Write a key, or delete it, and return the new version."""
        version = next(self._versions)
        if value is None:
            self._values_by_key.pop(key, None)
            version = 0
        else:
            self._values_by_key[key] = (version, value)
        if lease_seconds is not None:
            reactor.callLater(lease_seconds, self._expire, key, version)
        self._wake(key)
        return version

    async def wait_for_change(self, key: str, seconds: float) -> None:
        """Wait for a change of a key or a timeout."""
        watcher: defer.Deferred[None] = defer.Deferred()
        self._watchers_by_key[key].add(watcher)
        timer = reactor.callLater(seconds, watcher.callback, None)
        try:
            await watcher
        finally:
            if timer.active():
                timer.cancel()
            self._watchers_by_key[key].discard(watcher)

    def wake_all(self) -> None:
        """End every wait."""
        for key in list(self._watchers_by_key):
            self._wake(key)

    def _wake(self, key: str) -> None:
        for watcher in self._watchers_by_key.pop(key, set()):
            if not watcher.called:
                watcher.callback(None)

    def _expire(self, key: str, version: int) -> None:
        if self.version(key) == version:
            self.put(key, None)
