"""Decide which instances watch the store for the others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
import zlib

if TYPE_CHECKING:
    from collections.abc import Iterable

# The store takes some thousand reads a second, and each watch that returns
# is one. One watcher for 16 instances answers 30 polls a second, 4% of a
# core at 1.3 ms each; two at least, so that one may fail.
MIN_WATCHERS = 2
INSTANCES_PER_WATCHER = 16


def watchers(instances: Iterable[str]) -> tuple[str, ...]:
    """Return the instances that watch, the same ones to everybody."""
    known = sorted(set(instances), key=lambda name: (_spread(name), name))
    count = max(MIN_WATCHERS, math.ceil(len(known) / INSTANCES_PER_WATCHER))
    return tuple(known[:count])


def _spread(name: str) -> int:
    # Names begin with their data centre; in their own order all watchers
    # would stand in the first one.
    return zlib.crc32(name.encode())
