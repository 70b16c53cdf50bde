"""Choose engines by consistent hashing of prompts with bounded loads."""

from __future__ import annotations

import bisect
import collections
import heapq
import math
from typing import TYPE_CHECKING

import xxhash

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId

POINTS_PER_ENGINE = 8
# Maximum load of an engine as a multiple of the mean; above it, a popular
# prefix spills over to the next engine.
LOAD_FACTOR = 1.25
# Free engines up to which the prefix is ignored and the least loaded chosen.
FEW_FREE_ENGINES = 16
MAX_RING_STEPS = 64
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0


def prefix_key(prompt: str) -> int:
    """Return the position of a prompt on the hash ring."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


class EnginePool:
    """Track the engines of one model and their load."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._points: list[int] = []
        self._owners: list[TargetId] = []
        self._engines: set[TargetId] = set()
        self._in_flight: collections.Counter[TargetId] = collections.Counter()
        self._total_in_flight = 0
        # A dictionary, since it keeps the order in which engines became free.
        self._free: dict[TargetId, None] = {}
        self._paused: list[tuple[Instant, TargetId]] = []
        self._consecutive_failures: collections.Counter[TargetId] = (
            collections.Counter()
        )

    @property
    def has_free(self) -> bool:
        return bool(self._free)

    def set_engines(self, engines: Iterable[TargetId]) -> None:
        """Replace the engines of the pool."""
        current = set(engines)
        if current == self._engines:
            return
        for new in current - self._engines:
            if self._in_flight[new] < self._slots:
                self._free[new] = None
        for removed in self._engines - current:
            self._free.pop(removed, None)
        self._engines = current
        points = sorted(
            (xxhash.xxh3_64_intdigest(f'{engine}|{n}'.encode()), engine)
            for engine in current
            for n in range(POINTS_PER_ENGINE)
        )
        self._points = [point for point, _ in points]
        self._owners = [engine for _, engine in points]

    def end_pauses(self, now: Instant) -> None:
        """Resume the engines whose pause has ended."""
        while self._paused and self._paused[0][0] <= now:
            _, engine = heapq.heappop(self._paused)
            self._add_if_free(engine)

    def choose(
        self, prefix: int, allows: Callable[[TargetId], bool]
    ) -> TargetId | None:
        """Return an engine with a free slot, preferably near the prefix."""
        if len(self._free) > FEW_FREE_ENGINES:
            found = self._choose_near(prefix, allows)
            if found is not None:
                return found
        # The least loaded, since taking the first free engine would fill it
        # while others are idle.
        return min(
            (engine for engine in self._free if allows(engine)),
            key=self._in_flight.__getitem__,
            default=None,
        )

    def start(self, engine: TargetId) -> None:
        """Count an attempt as in flight."""
        self._in_flight[engine] += 1
        self._total_in_flight += 1
        if self._in_flight[engine] >= self._slots:
            self._free.pop(engine, None)

    def finish(self, engine: TargetId) -> None:
        """Release the slot of a successful or cancelled attempt."""
        self._release(engine)
        self._add_if_free(engine)

    def fail(self, engine: TargetId, now: Instant) -> None:
        """Release the slot of a failed attempt and pause the engine."""
        # A crashed engine fails and becomes free at once. Without a pause it
        # would get, and fail, all waiting samples.
        self._release(engine)
        if self._is_paused(engine):
            return
        self._free.pop(engine, None)
        seconds = FIRST_PAUSE_SECONDS * 2 ** self._consecutive_failures[engine]
        self._consecutive_failures[engine] += 1
        until = Instant(now + min(seconds, MAX_PAUSE_SECONDS))
        heapq.heappush(self._paused, (until, engine))

    def pause(self, engine: TargetId, until: Instant) -> None:
        """Start no attempts on an engine until a given time."""
        if not self._is_paused(engine):
            self._free.pop(engine, None)
            heapq.heappush(self._paused, (until, engine))

    def reset_failures(self, engine: TargetId) -> None:
        """Reset an engine's failure count after progress."""
        self._consecutive_failures.pop(engine, None)

    def _choose_near(
        self, prefix: int, allows: Callable[[TargetId], bool]
    ) -> TargetId | None:
        mean = (self._total_in_flight + 1) / len(self._engines)
        bound = math.ceil(LOAD_FACTOR * mean)
        at = bisect.bisect(self._points, prefix)
        for step in range(min(MAX_RING_STEPS, len(self._owners))):
            engine = self._owners[(at + step) % len(self._owners)]
            if engine not in self._free or not allows(engine):
                continue
            if self._in_flight[engine] < bound:
                return engine
        return None

    def _release(self, engine: TargetId) -> None:
        self._in_flight[engine] -= 1
        self._total_in_flight -= 1

    def _add_if_free(self, engine: TargetId) -> None:
        if engine not in self._engines or self._is_paused(engine):
            return
        if self._in_flight[engine] < self._slots:
            self._free[engine] = None

    def _is_paused(self, engine: TargetId) -> bool:
        return any(engine == paused for _, paused in self._paused)
