"""Detect that demand exceeds a service's capacity."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.capacity import meters
from yuccarill.core.ids import Instant


class CongestionPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure what counts as congestion."""

    # Multiple of the usual service time above which answers count as slow.
    slowness: float = 2.5
    # Minimum number of averaged answers to detect slowness.
    min_samples: float = 4.0
    # Weight of a new sample in the usual service time.
    usual_part: float = 0.01
    # Seconds for which a service counts as congested after a detection.
    memory: float = 2.0
    # Seconds over which answers are averaged.
    average: float = 0.35


class CongestionDetector:
    """Detect from attempts whether a service is congested."""

    def __init__(self, policy: CongestionPolicy, now: Instant) -> None:
        self._policy = policy
        self._congested_until = Instant(-math.inf)
        # Sum of service times a second; the mean is its ratio to `_finished`.
        self._service_time = meters.RateMeter(policy.average, now)
        self._recent: float | None = None
        self._usual: float | None = None
        self._finished = meters.RateMeter(policy.average, now)
        self._refused = meters.RateMeter(policy.average, now)
        self._in_flight_meter = meters.LevelMeter(policy.average, now)
        self.in_flight = 0
        # Requests that all targets can run at once, 0 if unknown.
        self.slots = 0

    @property
    def service_seconds(self) -> float | None:
        """Return the recent mean service time in seconds, None if unknown."""
        return self._recent

    def is_congested(self, now: Instant) -> bool:
        return now < self._congested_until

    def mean_in_flight(self, now: Instant) -> float:
        return self._in_flight_meter.average(now)

    def finished_rate(self, now: Instant) -> float:
        return self._finished.rate(now)

    def refused_rate(self, now: Instant) -> float:
        return self._refused.rate(now)

    def record_start(self, now: Instant) -> None:
        """Record that an attempt is sent."""
        self.in_flight += 1
        self._in_flight_meter.set(self.in_flight, now)
        if self.in_flight > self.slots > 0:
            self._mark_congested(now)

    def record_end(self, now: Instant) -> None:
        """Record that an attempt is over."""
        self.in_flight = max(0, self.in_flight - 1)
        self._in_flight_meter.set(self.in_flight, now)

    def record_answer(self, seconds: float, now: Instant) -> None:
        """Record the service time of an answered attempt."""
        self._finished.record(now)
        self._service_time.record(now, seconds)
        self._recent = self._service_time.rate(now) / self._finished.rate(now)
        if self._usual is None:
            self._usual = seconds
        samples = self._finished.rate(now) * self._policy.average
        is_slow = self._recent > self._policy.slowness * self._usual
        if is_slow and samples >= self._policy.min_samples:
            self._mark_congested(now)
        if not self.is_congested(now):
            self._usual += self._policy.usual_part * (seconds - self._usual)

    def record_refusal(self, now: Instant) -> None:
        """Record that a target refused an attempt for lack of capacity."""
        self._refused.record(now)
        self._mark_congested(now)

    def record_notice(self, now: Instant) -> None:
        """Record another instance's notice that the service is congested."""
        self._mark_congested(now)

    def _mark_congested(self, now: Instant) -> None:
        self._congested_until = Instant(now + self._policy.memory)
