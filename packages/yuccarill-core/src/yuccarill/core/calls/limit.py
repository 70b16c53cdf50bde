"""Follow how many calls the targets of a service bear at once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.core.calls.load import LoadReport


class LimitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how a concurrency limit moves."""

    initial: float = 8.0
    lowest: float = 2.0
    highest: float = 4096.0
    # Calls queued at targets, for each one that they work on.
    queued: float = 0.5
    # Latency, as a multiple of the unloaded one, where none reports.
    slowness: float = 2.0
    # Seconds of one window; a limit moves at most once in it.
    window: float = 0.5
    min_samples: int = 8
    # The part of a limit taken away at twice the pressure that is borne,
    # and the part at any pressure.
    decrease: float = 0.2
    max_decrease: float = 0.5
    # Growth in one window until the first pressure is seen.
    first_growth: float = 1.5
    # Times the calls in flight that an unused limit comes down to.
    headroom: float = 2.5
    # Seconds after which the unloaded latency is learned anew.
    memory: float = 120.0


class ConcurrencyLimit:
    """Raise a limit by steps and cut it by parts under pressure.

    All instances see the same targets' queues, so that they come to equal
    limits; source: Chiu and Jain, Analysis of the increase and decrease
    algorithms, 1989.
    """

    def __init__(self, policy: LimitPolicy) -> None:
        self._policy = policy
        self.value = policy.initial
        self._seconds = 0.0
        self._samples = 0
        self._queued = 0
        self._served = 0
        self._window_from = Instant(-math.inf)
        self._has_seen_pressure = False
        self._next_cut_at = Instant(-math.inf)
        self._unloaded = math.inf
        self._unloaded_next = math.inf
        self._learned_at = Instant(-math.inf)

    @property
    def unloaded(self) -> float:
        """Return the latency without load, 0 if it is not known yet."""
        return 0.0 if math.isinf(self._unloaded) else self._unloaded

    def answer(
        self,
        seconds: float,
        report: LoadReport | None,
        in_flight: int,
        now: Instant,
    ) -> None:
        """Learn from an attempt's latency and its target's report."""
        self._seconds += seconds
        self._samples += 1
        if report is not None:
            self._queued += report.queued
            self._served += max(1, report.in_flight)
        if self._samples < self._policy.min_samples:
            return
        if now - self._window_from < self._policy.window:
            return
        latency = self._seconds / self._samples
        self._learn(latency, now)
        self._move(self._pressure(latency), latency, in_flight, now)
        self._seconds, self._samples, self._window_from = 0.0, 0, now
        self._queued, self._served = 0, 0

    def _pressure(self, latency: float) -> float:
        if self._served:
            return self._queued / self._served / self._policy.queued
        # Calls differ in length, and an instance that once measured a low
        # latency would give way to all others: reports are better.
        return latency / self._unloaded / self._policy.slowness

    def _learn(self, latency: float, now: Instant) -> None:
        self._unloaded = min(self._unloaded, latency)
        self._unloaded_next = min(self._unloaded_next, latency)
        if now - self._learned_at > self._policy.memory:
            # Targets may have become slower for good; the lowest latency
            # of the last period stands for the next.
            self._unloaded = self._unloaded_next
            self._unloaded_next = latency
            self._learned_at = now

    def _move(
        self, pressure: float, latency: float, in_flight: int, now: Instant
    ) -> None:
        policy = self._policy
        if pressure > 1.0:
            self._has_seen_pressure = True
            # What was sent before a cut still fills the targets' queues
            # for as long as a call takes; cutting again for the same
            # queues would leave the targets idle afterwards.
            if now >= self._next_cut_at:
                part = policy.decrease * (pressure - 1.0)
                self.value *= 1.0 - min(part, policy.max_decrease)
                self._next_cut_at = Instant(now + latency)
        elif in_flight > self.value / 2:
            self.value += self._step()
        elif in_flight * policy.headroom < self.value:
            # A limit that is not reached says nothing; left high, it would
            # be none when load comes.
            self.value *= 1.0 - policy.decrease
        self.value = min(max(self.value, policy.lowest), policy.highest)

    def _step(self) -> float:
        if not self._has_seen_pressure:
            return self.value * (self._policy.first_growth - 1.0)
        return max(1.0, math.sqrt(self.value) / 8)
