"""Divide the remaining time of a call among its attempts."""

from __future__ import annotations

from yuccarill.core.ids import Instant

# With less time, attempts would be given up shortly before their answers.
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
