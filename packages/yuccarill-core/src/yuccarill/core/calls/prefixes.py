"""Map prompt prefixes to the engines that probably cache them."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId

# Leading characters of a prompt by which an engine is chosen.
PREFIX_LENGTH = 256
# Points of each engine on the ring; more points spread prefixes more evenly.
_POINTS_PER_ENGINE = 16


class PrefixRing:
    """Map prefixes to engines by consistent hashing.

    All instances map a prefix to the same engine without coordination. An
    engine that has not cached the prefix computes it again.
    """

    def __init__(self) -> None:
        self._points: list[tuple[int, TargetId]] = []

    def update(self, engines: Iterable[TargetId]) -> None:
        """Replace the engines of the ring."""
        self._points = sorted(
            (_hash(f'{engine}/{number}'), engine)
            for engine in engines
            for number in range(_POINTS_PER_ENGINE)
        )

    def find(self, prompt: str) -> TargetId | None:
        """Return the engine of a prompt's prefix, None without engines."""
        if not self._points:
            return None
        key = (_hash(prompt[:PREFIX_LENGTH]), '')
        index = bisect.bisect(self._points, key)
        return self._points[index % len(self._points)][1]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
