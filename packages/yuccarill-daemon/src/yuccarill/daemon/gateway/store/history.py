"""Keep a copy of a prefix and its latest changes for other instances."""

from __future__ import annotations

import collections
import itertools
from typing import Any
from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer

from yuccarill.core import decoding
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal

# Minimum number of retained changes; with more entries, one per entry. Readers
# that are further behind copy every key again.
MIN_CHANGES = 400


class History:
    """Hold a copy of the keys and the latest changes."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self.entries_by_key: dict[str, Entry] = {}
        self._changes: collections.deque[Entry | Removal] = collections.deque()
        # Cursors count changes in the order in which this copy applied them.
        # With store revisions, readers would miss a change that this copy
        # applied late because its watch had missed it.
        self._copy_id = uuid.uuid4().hex
        self._dropped_count = 0
        self._waiters: list[defer.Deferred[None]] = []

    @property
    def cursor(self) -> str:
        """Return the position after the latest change."""
        return f'{self._copy_id}.{self._dropped_count + len(self._changes)}'

    def apply(self, change: Entry | Removal) -> None:
        """Apply a change that is newer than the known entry."""
        if isinstance(change, store_module.Removal):
            self.entries_by_key.pop(change.key, None)
        else:
            self.entries_by_key[change.key] = change
        self._changes.append(change)
        while len(self._changes) > max(MIN_CHANGES, len(self.entries_by_key)):
            self._changes.popleft()
            self._dropped_count += 1

    def changes_since(self, cursor: str) -> list[Entry | Removal] | None:
        """Return the changes after a cursor; None if any were dropped."""
        copy_id, _, text = cursor.partition('.')
        count = decoding.parse_decimal(text)
        if copy_id != self._copy_id or count is None:
            return None
        first = count - self._dropped_count
        if not 0 <= first <= len(self._changes):
            return None
        found = itertools.islice(self._changes, first, None)
        # Only the latest change of each key is returned.
        newest_by_key = {change.key: change for change in found}
        return list(newest_by_key.values())

    async def wait(self, seconds: float) -> None:
        """Wait until `wake` is called or the timeout in seconds expires."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiting)
        timer = self._clock.callLater(seconds, self._release, waiting)
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()
            if waiting in self._waiters:
                self._waiters.remove(waiting)

    def wake(self) -> None:
        """Release every waiter."""
        for waiting in list(self._waiters):
            self._release(waiting)

    def _release(self, waiting: defer.Deferred[None]) -> None:
        if waiting in self._waiters:
            self._waiters.remove(waiting)
        if not waiting.called:
            waiting.callback(None)
