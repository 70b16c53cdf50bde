"""Keep the last changes under a prefix for those who follow this copy."""

from __future__ import annotations

import collections
import itertools
from typing import Any
from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer

from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal

# Changes kept at least, and else one for each entry. A reader that is further
# behind copies everything again.
MIN_CHANGES = 400


class History:
    """Hold a copy of the keys and what changed last."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self.entries_by_key: dict[str, Entry] = {}
        self._changes: collections.deque[Entry | Removal] = collections.deque()
        # Readers count changes in the order in which this copy took them. By
        # the store's revisions they would miss a change that this copy
        # learnt late, from a read after a watch that heard nothing.
        self._name = uuid.uuid4().hex
        self._dropped = 0
        self._waiting: list[defer.Deferred[None]] = []

    @property
    def cursor(self) -> str:
        """Return where a reader that knows everything goes on."""
        return f'{self._name}.{self._dropped + len(self._changes)}'

    def take(self, change: Entry | Removal) -> None:
        """Add a change that is newer than what stands."""
        if isinstance(change, store_module.Removal):
            self.entries_by_key.pop(change.key, None)
        else:
            self.entries_by_key[change.key] = change
        self._changes.append(change)
        while len(self._changes) > max(MIN_CHANGES, len(self.entries_by_key)):
            self._changes.popleft()
            self._dropped += 1

    def since(self, cursor: str) -> list[Entry | Removal] | None:
        """Return the changes after a cursor, none if some are not kept."""
        name, _, count = cursor.partition('.')
        if name != self._name or not count.isdecimal():
            return None
        first = int(count) - self._dropped
        if not 0 <= first <= len(self._changes):
            return None
        found = itertools.islice(self._changes, first, None)
        # What was changed again since is told once.
        newest_by_key = {change.key: change for change in found}
        return list(newest_by_key.values())

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
