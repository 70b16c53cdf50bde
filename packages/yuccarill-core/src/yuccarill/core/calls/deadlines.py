"""Divide the remaining time of a call among its attempts."""

from __future__ import annotations

from yuccarill.core.ids import Instant

# A shorter attempt deadline would waste the work of answers that are due.
_MIN_LATENCY_MULTIPLE = 4.0


def attempt_deadline(
    now: Instant, deadline: Instant, attempts_left: int, expected: float
) -> Instant:
    """Return when an attempt is given up in favour of the next one.

    `expected` is the usual latency in seconds, 0 if unknown.
    """
    remaining = deadline - now
    seconds = max(remaining / attempts_left, expected * _MIN_LATENCY_MULTIPLE)
    return Instant(now + min(remaining, seconds))
