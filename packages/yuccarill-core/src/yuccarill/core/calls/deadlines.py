"""Divide the time left to a call between its attempts."""

from __future__ import annotations

from yuccarill.core.ids import Instant

# An attempt that is cut off before most calls are answered is wasted work.
_PATIENCE = 4.0


def attempt_deadline(
    now: Instant, deadline: Instant, attempts_left: int, expected: float
) -> Instant:
    """Return when an attempt is given up for the next.

    `expected` is the usual latency in seconds, 0 if it is not known.
    """
    left = deadline - now
    share = max(left / attempts_left, expected * _PATIENCE)
    return Instant(now + min(left, share))
