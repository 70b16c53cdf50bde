"""Agree on the true time, of which no single clock can be sure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Seconds by which two clocks that are both right may differ. They are set by
# the network to some ten milliseconds; one that jumped is off by a second or
# more.
AGREE_SECONDS = 0.25


def agreed_offset(offsets: Sequence[float], before: float | None) -> float:
    """Return what has to be added to a steady clock to get the true time.

    Each offset is that of one instance's wall clock; `before` was agreed
    earlier, and goes on being right as long as the steady clock runs. The
    middle one of many is right while fewer than half are off, whichever way
    they jumped. Where it is not known which half is right, what was agreed
    before is.
    """
    ordered = sorted(offsets)
    low = ordered[(len(ordered) - 1) // 2]
    high = ordered[len(ordered) // 2]
    is_single = len(ordered) == 1
    if high - low <= AGREE_SECONDS and not (is_single and before is not None):
        return (low + high) / 2.0
    return low if before is None else before
