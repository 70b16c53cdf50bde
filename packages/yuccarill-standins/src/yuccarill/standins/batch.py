"""Assign an engine's slots by priority, as continuous batching does."""

from __future__ import annotations

import collections
import heapq
import itertools
import time

from twisted.internet import defer


class Batch:
    """Priority queue in front of a bounded number of slots."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, defer.Deferred[None]]] = []
        self._numbers = itertools.count()
        self.in_flight = 0
        # Loads, each with the time since which it holds; the latest is last.
        self._loads: collections.deque[tuple[float, str]] = collections.deque(
            [(0.0, '0,0')]
        )

    @property
    def queued(self) -> int:
        return len(self._queue)

    async def acquire(self, priority: int, slots: int) -> None:
        """Wait for a slot; the lowest priority value is served first."""
        if self.in_flight < slots:
            self.in_flight += 1
            self._record_load()
            return
        granted: defer.Deferred[None] = defer.Deferred()
        heapq.heappush(self._queue, (priority, next(self._numbers), granted))
        self._record_load()
        await granted

    def release(self) -> None:
        """Release a slot to the next queued request."""
        if self._queue:
            _, _, granted = heapq.heappop(self._queue)
            self._record_load()
            granted.callback(None)
            return
        self.in_flight -= 1
        self._record_load()

    def load_before(self, lag_seconds: float) -> str:
        """Return "in_flight,queued" as of lag_seconds ago."""
        visible_until = time.monotonic() - lag_seconds
        while len(self._loads) > 1 and self._loads[1][0] <= visible_until:
            self._loads.popleft()
        return self._loads[0][1]

    def _record_load(self) -> None:
        load = f'{self.in_flight},{self.queued}'
        self._loads.append((time.monotonic(), load))
