"""Decide when a slow repeatable call is hedged."""

from __future__ import annotations

import collections

import msgspec


class HedgePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure after which latency a call is hedged."""

    percentile: float = 0.95
    samples: int = 256
    min_samples: int = 32


class HedgeTimer:
    """Compute the hedge delay as a percentile of recent latencies."""

    def __init__(self, policy: HedgePolicy) -> None:
        self._policy = policy
        self._recent_latencies: collections.deque[float] = collections.deque(
            maxlen=policy.samples
        )
        self._delay: float | None = None
        self._samples_until_update = policy.min_samples

    def record_latency(self, seconds: float) -> None:
        self._recent_latencies.append(seconds)
        self._samples_until_update -= 1
        if self._samples_until_update <= 0:
            self._samples_until_update = self._policy.min_samples
            index = int(self._policy.percentile * len(self._recent_latencies))
            self._delay = sorted(self._recent_latencies)[index]

    def delay(self) -> float | None:
        """Return the hedge delay in seconds, None with too few samples."""
        return self._delay
