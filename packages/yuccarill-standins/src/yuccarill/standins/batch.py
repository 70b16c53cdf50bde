"""Share an engine's slots by priority, as continuous batching does."""

from __future__ import annotations

import collections
import heapq
import itertools
import time

from twisted.internet import defer


class Batch:
    """Admit requests to a bounded number of slots."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, defer.Deferred[None]]] = []
        self._arrivals = itertools.count()
        self.in_flight = 0
        # Loads with when each came to be, the newest last.
        self._loads: collections.deque[tuple[float, str]] = collections.deque(
            [(0.0, '0,0')]
        )

    @property
    def queued(self) -> int:
        return len(self._queue)

    async def enter(self, priority: int, slots: int) -> None:
        """Wait for a slot; the lowest priority value goes first."""
        if self.in_flight < slots:
            self.in_flight += 1
            self._note()
            return
        turn: defer.Deferred[None] = defer.Deferred()
        heapq.heappush(self._queue, (priority, next(self._arrivals), turn))
        self._note()
        await turn

    def leave(self) -> None:
        """Give a slot to the next in the queue."""
        if self._queue:
            _, _, turn = heapq.heappop(self._queue)
            self._note()
            turn.callback(None)
            return
        self.in_flight -= 1
        self._note()

    def load_before(self, lag_seconds: float) -> str:
        """Return in_flight,queued as they were some seconds ago."""
        shown_until = time.monotonic() - lag_seconds
        while len(self._loads) > 1 and self._loads[1][0] <= shown_until:
            self._loads.popleft()
        return self._loads[0][1]

    def _note(self) -> None:
        load = f'{self.in_flight},{self.queued}'
        self._loads.append((time.monotonic(), load))
