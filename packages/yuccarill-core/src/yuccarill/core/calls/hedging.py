"""Decide when a slow repeatable call is sent a second time."""

from __future__ import annotations

import collections

import msgspec


class HedgePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set after which latency a call is hedged."""

    percentile: float = 0.95
    samples: int = 256
    min_samples: int = 32


class HedgeTimer:
    """Measure the latency after which a call counts as slow."""

    def __init__(self, policy: HedgePolicy) -> None:
        self._policy = policy
        self._recent: collections.deque[float] = collections.deque(
            maxlen=policy.samples
        )
        self._seconds: float | None = None
        self._until_next = policy.min_samples

    def answer(self, seconds: float) -> None:
        """Learn from an attempt's latency."""
        self._recent.append(seconds)
        self._until_next -= 1
        if self._until_next <= 0:
            self._until_next = self._policy.min_samples
            place = int(self._policy.percentile * len(self._recent))
            self._seconds = sorted(self._recent)[place]

    def seconds(self) -> float | None:
        """Return the latency of a slow call, or none if not measured."""
        return self._seconds
