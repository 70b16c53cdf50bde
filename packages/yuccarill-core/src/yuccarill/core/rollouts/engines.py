"""Choose engines by cached prefix within a bounded load."""

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
# An engine takes at most this many times the mean load; so a popular prefix
# spills over to the next engine instead of queueing.
LOAD_FACTOR = 1.25
# With so few engines free, looking for a prefix costs more than it saves.
FEW = 16
MAX_WALK = 64
FIRST_REST_SECONDS = 1.0
MAX_REST_SECONDS = 30.0


def prefix_key(prompt: str) -> int:
    """Return where on the ring a prompt stands."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


class EnginePool:
    """Hold the engines of one model and what was sent to them."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._points: list[int] = []
        self._owners: list[TargetId] = []
        self._engines: set[TargetId] = set()
        self._in_flight: collections.Counter[TargetId] = collections.Counter()
        self._total = 0
        # A dictionary, since it keeps the order in which engines got free.
        self._free: dict[TargetId, None] = {}
        self._resting: list[tuple[Instant, TargetId]] = []
        self._rests: collections.Counter[TargetId] = collections.Counter()

    @property
    def has_free(self) -> bool:
        return bool(self._free)

    def set_engines(self, engines: Iterable[TargetId]) -> None:
        """Take the engines that there are now."""
        found = set(engines)
        if found == self._engines:
            return
        for new in found - self._engines:
            if self._in_flight[new] < self._slots:
                self._free[new] = None
        for gone in self._engines - found:
            self._free.pop(gone, None)
        self._engines = found
        points = sorted(
            (xxhash.xxh3_64_intdigest(f'{engine}|{n}'.encode()), engine)
            for engine in found
            for n in range(POINTS_PER_ENGINE)
        )
        self._points = [point for point, _ in points]
        self._owners = [engine for _, engine in points]

    def wake(self, now: Instant) -> None:
        """Take engines back that have rested long enough."""
        while self._resting and self._resting[0][0] <= now:
            _, engine = heapq.heappop(self._resting)
            self._offer(engine)

    def choose(
        self, prefix: int, allows: Callable[[TargetId], bool]
    ) -> TargetId | None:
        """Return an engine with a free slot, near the prefix if it can."""
        if len(self._free) > FEW:
            found = self._near(prefix, allows)
            if found is not None:
                return found
        # The least loaded: the first free one would be filled to its last
        # slot while others stand idle.
        return min(
            (engine for engine in self._free if allows(engine)),
            key=self._in_flight.__getitem__,
            default=None,
        )

    def start(self, engine: TargetId) -> None:
        """Count an attempt that is sent to an engine."""
        self._in_flight[engine] += 1
        self._total += 1
        if self._in_flight[engine] >= self._slots:
            self._free.pop(engine, None)

    def finish(self, engine: TargetId) -> None:
        """Count an attempt that ended well or was cancelled."""
        self._release(engine)
        self._offer(engine)

    def fail(self, engine: TargetId, now: Instant) -> None:
        """Count an attempt that the engine failed, and let it rest."""
        # A crashed engine fails at once and is free again at once. Without
        # a rest it would draw all waiting samples, and fail them all.
        self._release(engine)
        if self._is_resting(engine):
            return
        self._free.pop(engine, None)
        rest = FIRST_REST_SECONDS * 2 ** self._rests[engine]
        self._rests[engine] += 1
        until = Instant(now + min(rest, MAX_REST_SECONDS))
        heapq.heappush(self._resting, (until, engine))

    def pause(self, engine: TargetId, until: Instant) -> None:
        """Send an engine nothing more for a time."""
        if not self._is_resting(engine):
            self._free.pop(engine, None)
            heapq.heappush(self._resting, (until, engine))

    def praise(self, engine: TargetId) -> None:
        """Forget an engine's failures, since it works."""
        self._rests.pop(engine, None)

    def _near(
        self, prefix: int, allows: Callable[[TargetId], bool]
    ) -> TargetId | None:
        mean = (self._total + 1) / len(self._engines)
        bound = math.ceil(LOAD_FACTOR * mean)
        at = bisect.bisect(self._points, prefix)
        for step in range(min(MAX_WALK, len(self._owners))):
            engine = self._owners[(at + step) % len(self._owners)]
            if engine not in self._free or not allows(engine):
                continue
            if self._in_flight[engine] < bound:
                return engine
        return None

    def _release(self, engine: TargetId) -> None:
        self._in_flight[engine] -= 1
        self._total -= 1

    def _offer(self, engine: TargetId) -> None:
        if engine not in self._engines or self._is_resting(engine):
            return
        if self._in_flight[engine] < self._slots:
            self._free[engine] = None

    def _is_resting(self, engine: TargetId) -> bool:
        return any(engine == resting for _, resting in self._resting)
