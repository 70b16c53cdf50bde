"""Limit a rate with a token bucket."""

from __future__ import annotations

import math

from yuccarill.core.ids import Instant


# Covers rounding errors and timers that fire slightly early.
_TOLERANCE = 1e-6


class RateBucket:
    """Implement a token bucket with a rate and a depth."""

    def __init__(
        self, rate: float, depth: float, tokens: float, now: Instant
    ) -> None:
        self._rate = rate
        self._depth = depth
        self._tokens = tokens
        self._refilled_at = now

    @property
    def rate(self) -> float:
        """Return the rate in tokens a second."""
        return self._rate

    def set_rate(self, rate: float, depth: float, now: Instant) -> None:
        """Change the rate and depth from now on."""
        self._refill(now)
        self._rate = rate
        self._depth = depth
        self._tokens = min(self._tokens, depth)

    def try_take(self, now: Instant) -> bool:
        """Take a token if available; return whether it was taken."""
        self._refill(now)
        if self._tokens < 1.0 - _TOLERANCE:
            return False
        self._tokens -= 1.0
        return True

    def seconds_until(self, count: int, now: Instant) -> float:
        """Return the seconds until a number of tokens is available."""
        self._refill(now)
        missing = count - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0.0 else math.inf

    def _refill(self, now: Instant) -> None:
        seconds = max(0.0, now - self._refilled_at)
        self._tokens = min(self._depth, self._tokens + seconds * self._rate)
        self._refilled_at = now
