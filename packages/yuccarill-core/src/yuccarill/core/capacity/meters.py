"""Compute exponential moving averages over time."""

from __future__ import annotations

import math

from yuccarill.core.ids import Instant


class RateMeter:
    """Average the rate of events."""

    def __init__(self, seconds: float, now: Instant) -> None:
        self._seconds = seconds
        self._rate = 0.0
        self._at = now

    def record(self, now: Instant, count: float = 1.0) -> None:
        """Count one or more events."""
        self._rate = self.rate(now) + count / self._seconds
        self._at = now

    def rate(self, now: Instant) -> float:
        """Return the average events a second."""
        return self._rate * math.exp(-max(0.0, now - self._at) / self._seconds)


class LevelMeter:
    """Average a level over time."""

    def __init__(self, seconds: float, now: Instant) -> None:
        self._seconds = seconds
        self._level = 0.0
        self._average = 0.0
        self._at = now

    def set(self, level: float, now: Instant) -> None:
        """Change the level from now on."""
        self._average = self.average(now)
        self._level = level
        self._at = now

    def average(self, now: Instant) -> float:
        decay = math.exp(-max(0.0, now - self._at) / self._seconds)
        return self._level + decay * (self._average - self._level)
