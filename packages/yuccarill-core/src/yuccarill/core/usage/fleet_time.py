"""Estimate the true time from the wall clocks of several instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum difference of two correct clocks; larger than the error of NTP.
SKEW_SECONDS = 0.25


def agreed_offset(offsets: Sequence[float], before: float | None) -> float:
    """Return the offset of the true time from the monotonic clock.

    Each offset is that of one instance's wall clock. The median is correct
    while fewer than half of the clocks are wrong. Without a clear majority,
    or with one clock only, the offset agreed earlier, `before`, is kept.
    """
    ordered = sorted(offsets)
    low = ordered[(len(ordered) - 1) // 2]
    high = ordered[len(ordered) // 2]
    is_single = len(ordered) == 1
    if high - low <= SKEW_SECONDS and not (is_single and before is not None):
        return (low + high) / 2.0
    return low if before is None else before
