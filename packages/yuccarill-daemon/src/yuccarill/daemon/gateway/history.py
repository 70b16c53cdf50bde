"""Keep the last changes under a prefix for those who follow this copy."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.ids import Revision
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal

# Changes kept; a reader that is further behind copies everything again.
MAX_CHANGES = 400


class History:
    """Hold a copy of the keys and what changed last."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self.entries_by_key: dict[str, Entry] = {}
        self._changes: collections.deque[Entry | Removal] = collections.deque()
        # Every change after this one is kept.
        self._floor = Revision(0)
        self._waiting: list[defer.Deferred[None]] = []

    def start(self, revision: Revision) -> None:
        """Note the first state that was read."""
        if not self._floor:
            self._floor = revision

    def take(self, change: Entry | Removal) -> None:
        """Add a change that is newer than what stands."""
        if isinstance(change, store_module.Removal):
            self.entries_by_key.pop(change.key, None)
        else:
            self.entries_by_key[change.key] = change
        self._changes.append(change)
        if len(self._changes) > MAX_CHANGES:
            dropped = self._changes.popleft()
            self._floor = Revision(max(self._floor, dropped.revision))

    def since(self, after: Revision) -> list[Entry | Removal] | None:
        """Return the changes after a revision, none if some are gone."""
        if after < self._floor:
            return None
        return [c for c in self._changes if c.revision > after]

    async def wait(self, seconds: float) -> None:
        """Wait until `wake` is called, or for a time."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(waiting)
        timer = self._clock.callLater(seconds, self._release, waiting)
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def wake(self) -> None:
        """Tell all that wait."""
        for waiting in list(self._waiting):
            self._release(waiting)

    def _release(self, waiting: defer.Deferred[None]) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
        if not waiting.called:
            waiting.callback(None)
