"""Decide which instances watch the store for the others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccarill.core.gateway import candidates

if TYPE_CHECKING:
    from collections.abc import Mapping

# The store takes some thousand reads a second, and each watch that returns
# is one. One watcher for 16 instances answers 30 polls a second, 0.6% of a
# core at 0.19 ms each; two at least, so that one may fail.
MIN_WATCHERS = 2
INSTANCES_PER_WATCHER = 16
_PURPOSE = 'watch'


def watchers(cores_by_instance: Mapping[str, float]) -> tuple[str, ...]:
    """Return the instances that watch, the same ones to everybody."""
    known = candidates.ordered(cores_by_instance, _PURPOSE)
    count = max(MIN_WATCHERS, math.ceil(len(known) / INSTANCES_PER_WATCHER))
    return tuple(known[:count])
