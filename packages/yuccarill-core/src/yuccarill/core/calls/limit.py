"""Adapt the number of concurrent calls to the load of the targets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.core.calls.load import LoadReport


class LimitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure how a concurrency limit adapts."""

    initial: float = 8.0
    lowest: float = 2.0
    highest: float = 4096.0
    # Accepted number of queued calls per running call at targets.
    queued: float = 0.5
    # Accepted multiple of the unloaded latency, without load reports.
    slowness: float = 2.0
    # Minimum seconds between two changes of the limit.
    window: float = 0.5
    min_samples: int = 8
    # Fraction removed at twice the accepted pressure, and its maximum.
    decrease: float = 0.2
    max_decrease: float = 0.5
    # Growth factor of the limit per window before the first excess pressure.
    first_growth: float = 1.5
    # Ratio of the limit to the calls in flight above which the limit falls.
    headroom: float = 2.5
    # Seconds after which the unloaded latency is measured anew.
    memory: float = 120.0


class ConcurrencyLimit:
    """Adapt a limit by additive increase and multiplicative decrease.

    All instances see the same targets' queues, so that their limits
    converge; source: Chiu and Jain, Analysis of the increase and decrease
    algorithms, 1989.
    """

    def __init__(self, policy: LimitPolicy) -> None:
        self._policy = policy
        self.value = policy.initial
        self._latency_sum = 0.0
        self._samples = 0
        self._queued_sum = 0
        self._running_sum = 0
        self._window_start = Instant(-math.inf)
        self._has_seen_pressure = False
        self._next_decrease_at = Instant(-math.inf)
        self._unloaded = math.inf
        self._next_unloaded = math.inf
        self._unloaded_reset_at = Instant(-math.inf)

    @property
    def unloaded(self) -> float:
        """Return the unloaded latency in seconds, 0 if unknown."""
        return 0.0 if math.isinf(self._unloaded) else self._unloaded

    def record_answer(
        self,
        seconds: float,
        report: LoadReport | None,
        in_flight: int,
        now: Instant,
    ) -> None:
        """Record an attempt's latency and its target's load report."""
        self._latency_sum += seconds
        self._samples += 1
        if report is not None:
            self._queued_sum += report.queued
            self._running_sum += max(1, report.in_flight)
        if self._samples < self._policy.min_samples:
            return
        if now - self._window_start < self._policy.window:
            return
        latency = self._latency_sum / self._samples
        self._update_unloaded(latency, now)
        self._adjust(self._pressure(latency), latency, in_flight, now)
        self._latency_sum, self._samples, self._window_start = 0.0, 0, now
        self._queued_sum, self._running_sum = 0, 0

    def _pressure(self, latency: float) -> float:
        if self._running_sum:
            return self._queued_sum / self._running_sum / self._policy.queued
        # Used only without load reports: calls differ in length, and a low
        # latency, once measured, would keep an instance's limit too low.
        return latency / self._unloaded / self._policy.slowness

    def _update_unloaded(self, latency: float, now: Instant) -> None:
        self._unloaded = min(self._unloaded, latency)
        self._next_unloaded = min(self._next_unloaded, latency)
        if now - self._unloaded_reset_at > self._policy.memory:
            # Targets may have become permanently slower, so only the lowest
            # latency of the last period is kept.
            self._unloaded = self._next_unloaded
            self._next_unloaded = latency
            self._unloaded_reset_at = now

    def _adjust(
        self, pressure: float, latency: float, in_flight: int, now: Instant
    ) -> None:
        policy = self._policy
        if pressure > 1.0:
            self._has_seen_pressure = True
            # Calls sent before a decrease stay queued at targets for about
            # one latency; decreasing again for them would idle the targets.
            if now >= self._next_decrease_at:
                reduction = policy.decrease * (pressure - 1.0)
                self.value *= 1.0 - min(reduction, policy.max_decrease)
                self._next_decrease_at = Instant(now + latency)
        elif in_flight > self.value / 2:
            self.value += self._increase()
        elif in_flight * policy.headroom < self.value:
            # An unused high limit would not protect the targets from a
            # sudden load.
            self.value *= 1.0 - policy.decrease
        self.value = min(max(self.value, policy.lowest), policy.highest)

    def _increase(self) -> float:
        if not self._has_seen_pressure:
            return self.value * (self._policy.first_growth - 1.0)
        return max(1.0, math.sqrt(self.value) / 8)
