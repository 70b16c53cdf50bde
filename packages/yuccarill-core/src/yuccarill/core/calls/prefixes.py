"""Say which engine probably has a prompt's prefix in its cache."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId

# Characters of a prompt that calls for the same cache entries share.
PREFIX_LENGTH = 256
# Places of one engine on the ring, so that engines get equal parts.
_PLACES = 16


class PrefixRing:
    """Place prefixes on engines so that few move when one comes or goes.

    All instances place a prefix on the same engine without a word between
    them. A wrong belief costs the time to fill a cache, nothing else.
    """

    def __init__(self) -> None:
        self._places: list[tuple[int, TargetId]] = []

    def update(self, engines: Iterable[TargetId]) -> None:
        """Take the engines that there are."""
        self._places = sorted(
            (_hash(f'{engine}/{number}'), engine)
            for engine in engines
            for number in range(_PLACES)
        )

    def find(self, prompt: str) -> TargetId | None:
        """Return the engine of a prompt's prefix, or none."""
        if not self._places:
            return None
        key = (_hash(prompt[:PREFIX_LENGTH]), '')
        place = bisect.bisect(self._places, key)
        return self._places[place % len(self._places)][1]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
