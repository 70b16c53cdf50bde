"""Notice that a service has less room than it is asked for."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.capacity import meters
from yuccarill.core.ids import Instant


class CongestionPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set what counts as a sign of congestion."""

    # Times the usual seconds of service.
    slowness: float = 2.5
    # Answers within the average that slowness is told from.
    min_samples: float = 4.0
    # Part of the usual seconds of service that a new time replaces.
    usual_part: float = 0.01
    # Seconds after the last sign for which a service counts as congested.
    memory: float = 2.0
    # Seconds over which answers are averaged.
    average: float = 0.35


class CongestionSigns:
    """Learn from attempts whether a service is congested."""

    def __init__(self, policy: CongestionPolicy, now: Instant) -> None:
        self._policy = policy
        self._until = Instant(-math.inf)
        # Seconds of service a second; over the finished a second, the mean.
        self._busy = meters.RateMeter(policy.average, now)
        self._recent: float | None = None
        self._usual: float | None = None
        self._finished = meters.RateMeter(policy.average, now)
        self._refused = meters.RateMeter(policy.average, now)
        self._level = meters.LevelMeter(policy.average, now)
        self.in_flight = 0
        # Requests that all targets run at once, 0 if it is not known.
        self.places = 0

    @property
    def service_seconds(self) -> float | None:
        """Return the seconds that targets take now, if that is known."""
        return self._recent

    def is_congested(self, now: Instant) -> bool:
        return now < self._until

    def mean_in_flight(self, now: Instant) -> float:
        return self._level.average(now)

    def finished_rate(self, now: Instant) -> float:
        return self._finished.rate(now)

    def refused_rate(self, now: Instant) -> float:
        return self._refused.rate(now)

    def started(self, now: Instant) -> None:
        """Learn that an attempt is sent."""
        self.in_flight += 1
        self._level.set(self.in_flight, now)
        if self.in_flight > self.places > 0:
            self._see(now)

    def ended(self, now: Instant) -> None:
        """Learn that an attempt is over."""
        self.in_flight = max(0, self.in_flight - 1)
        self._level.set(self.in_flight, now)

    def finished(self, seconds: float, now: Instant) -> None:
        """Learn from the time that an attempt took."""
        self._finished.note(now)
        self._busy.note(now, seconds)
        self._recent = self._busy.rate(now) / self._finished.rate(now)
        if self._usual is None:
            self._usual = seconds
        samples = self._finished.rate(now) * self._policy.average
        is_slow = self._recent > self._policy.slowness * self._usual
        if is_slow and samples >= self._policy.min_samples:
            self._see(now)
        if not self.is_congested(now):
            self._usual += self._policy.usual_part * (seconds - self._usual)

    def refused(self, now: Instant) -> None:
        """Learn that a target had no room."""
        self._refused.note(now)
        self._see(now)

    def told(self, now: Instant) -> None:
        """Learn from another instance that the service is congested."""
        self._see(now)

    def _see(self, now: Instant) -> None:
        self._until = Instant(now + self._policy.memory)
