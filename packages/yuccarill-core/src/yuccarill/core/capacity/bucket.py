"""Let requests through at a rate, with small bursts."""

from __future__ import annotations

import math

from yuccarill.core.ids import Instant


# Seconds until a token are rounded, and a timer may be a little early.
_TOLERANCE = 1e-6


class RateBucket:
    """Collect tokens at a rate up to a depth."""

    def __init__(
        self, rate: float, depth: float, tokens: float, now: Instant
    ) -> None:
        self._rate = rate
        self._depth = depth
        self._tokens = tokens
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Return the tokens a second."""
        return self._rate

    def set_rate(self, rate: float, depth: float, now: Instant) -> None:
        """Change the rate from now on."""
        self._fill(now)
        self._rate = rate
        self._depth = depth
        self._tokens = min(self._tokens, depth)

    def take(self, now: Instant) -> bool:
        """Take a token, if there is one."""
        self._fill(now)
        if self._tokens < 1.0 - _TOLERANCE:
            return False
        self._tokens -= 1.0
        return True

    def seconds_until(self, count: int, now: Instant) -> float:
        """Return the seconds until so many tokens will have come."""
        self._fill(now)
        lacking = count - self._tokens
        if lacking <= 0.0:
            return 0.0
        return lacking / self._rate if self._rate > 0.0 else math.inf

    def _fill(self, now: Instant) -> None:
        seconds = max(0.0, now - self._filled_at)
        self._tokens = min(self._depth, self._tokens + seconds * self._rate)
        self._filled_at = now
