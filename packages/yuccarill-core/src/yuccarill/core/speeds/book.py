"""Learn the lasting pace of each target of one service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import Instant
from yuccarill.core.speeds.estimate import PaceEstimate
from yuccarill.core.speeds.estimate import SpeedRecord
from yuccarill.core.speeds.estimate import SpeedState
from yuccarill.core.speeds import median

if TYPE_CHECKING:
    from yuccarill.core.ids import TargetId

# Seconds whose units of work make one measurement. Units that run beside
# each other share their target's pauses.
WINDOW_SECONDS = 0.1
# Variance that the logarithm of a lasting pace gains in a second.
_DRIFT = 0.005**2
# Variance of one measurement.
_NOISE = 0.08**2
# Variance of a target's lasting pace around its service's median.
_PRIOR = 0.4**2
# Standard errors past which a measurement is no part of the lasting pace.
_GATE = 3.0
# Logarithm of the least ratio that is told from the lasting pace.
_LEAST_SHIFT = math.log(1.4)
# Seconds after which a target that is out of its lasting pace has a fault;
# moments of a busy machine are shorter.
FAULT_SECONDS = 0.7
# Seconds after which a fault is the target's lasting pace.
LASTING_SECONDS = 30.0
# Seconds in which an unseen fault loses two thirds of its weight, so that
# its target is tried again.
UNSEEN_SECONDS = 3.0
# Part by which one more unit of work slows the others, and its variance.
_FIRST_SLOPE = 0.01
_SLOPE_PRIOR = 0.01**2
MIN_SLOPE = 0.005
MAX_SLOPE = 0.1
# Seconds for which the median of the service stands.
_MEDIAN_SECONDS = 0.1
# Seconds a unit of work before any was seen, and the deviation of that.
DEFAULT_PACE = 0.04


class _Speed(msgspec.Struct, kw_only=True):
    """Track one start of one target."""

    start: TargetStart = TargetStart()
    log_pace: float | None = None
    variance: float = _PRIOR
    # How far the target is out of its lasting pace, and since when.
    shift: float = 0.0
    shifted_at: Instant | None = None
    seen_at: Instant = Instant(-math.inf)
    # The measurement that is being taken.
    window_at: Instant = Instant(-math.inf)
    seconds: float = 0.0
    beside: float = 0.0
    units: int = 0

    def fault_part(self, now: Instant) -> float:
        """Return how likely the target has a fault."""
        return self.lasted_part() * self._fresh_part(now)

    def lasted_part(self) -> float:
        """Return how much of a fault's least time it has been out."""
        if self.shifted_at is None:
            return 0.0
        return min(1.0, (self.seen_at - self.shifted_at) / FAULT_SECONDS)

    def has_fault(self, now: Instant) -> bool:
        is_lasting = self.shift > 0.0 and self.lasted_part() >= 1.0
        return is_lasting and self._fresh_part(now) > 0.5

    def _fresh_part(self, now: Instant) -> float:
        unseen = max(0.0, now - self.seen_at - WINDOW_SECONDS)
        return math.exp(-unseen / UNSEEN_SECONDS)


class LogPaceBook:
    """Know the speed of the targets of one service.

    A scalar Kalman filter on the logarithm of each pace, whose measurements
    are gated by their normalised innovation, and a second one on the slope
    that all targets share. Source: Bar-Shalom, Li and Kirubarajan,
    Estimation with Applications to Tracking and Navigation, 2001, sections
    5.2 and 5.4 (innovations), 11.7 (manoeuvres found by their length).
    """

    def __init__(self) -> None:
        self._speeds_by_id: dict[TargetId, _Speed] = {}
        self._slope = _FIRST_SLOPE
        self._slope_variance = _SLOPE_PRIOR
        self._median: float | None = None
        self._median_at = Instant(-math.inf)

    def follow(self, target: TargetId, start: TargetStart) -> None:
        """Forget what is known of an earlier start of a target."""
        known = self._speeds_by_id.get(target)
        if known is None:
            self._speeds_by_id[target] = _Speed(start=start)
        elif known.start.is_same(start):
            known.start = start
        else:
            self._speeds_by_id[target] = _Speed(start=start)

    def saw(
        self, target: TargetId, seconds: float, beside: int, now: Instant
    ) -> None:
        """Learn how long a unit of work took with so many others beside."""
        speed = self._speeds_by_id.setdefault(target, _Speed())
        if not speed.units:
            speed.window_at = now
        speed.seconds += seconds
        speed.beside += beside
        speed.units += 1
        if now >= speed.window_at + WINDOW_SECONDS:
            self._measure(speed, now)

    def _measure(self, speed: _Speed, now: Instant) -> None:
        seconds = max(1e-6, speed.seconds / speed.units)
        beside = speed.beside / speed.units
        speed.seconds = speed.beside = 0.0
        speed.units = 0
        measured = math.log(seconds)
        company = math.log1p(self._slope * beside)
        if speed.log_pace is None:
            speed.log_pace = measured - company
            speed.variance = _PRIOR / 4.0
            speed.seen_at = now
            return
        unseen = min(now - speed.seen_at, LASTING_SECONDS)
        speed.variance += _DRIFT * max(0.0, unseen)
        speed.seen_at = now
        innovation = measured - company - speed.log_pace
        spread = math.sqrt(speed.variance + _NOISE)
        if abs(innovation) > max(_LEAST_SHIFT, _GATE * spread):
            self._shift(speed, innovation, now)
            return
        speed.shifted_at = None
        speed.shift = 0.0
        gain = speed.variance / (speed.variance + _NOISE)
        speed.log_pace += gain * innovation
        speed.variance *= 1.0 - gain
        self._learn_slope(innovation, beside)

    def _shift(self, speed: _Speed, innovation: float, now: Instant) -> None:
        """Take a measurement that is none of the lasting pace."""
        if speed.shifted_at is None or speed.shift * innovation < 0.0:
            speed.shifted_at = now
            speed.shift = innovation
        speed.shift += 0.3 * (innovation - speed.shift)
        lasted = now - speed.shifted_at
        is_fault = speed.shift > 0.0
        if lasted > (LASTING_SECONDS if is_fault else FAULT_SECONDS):
            # The pace that was learnt was another one.
            assert speed.log_pace is not None
            speed.log_pace += speed.shift
            speed.variance = _PRIOR / 4.0
            speed.shifted_at = None
            speed.shift = 0.0

    def _learn_slope(self, innovation: float, beside: float) -> None:
        if beside <= 0.0:
            return
        tangent = beside / (1.0 + self._slope * beside)
        variance = tangent**2 * self._slope_variance + _NOISE
        gain = self._slope_variance * tangent / variance
        slope = self._slope + gain * innovation
        self._slope = min(MAX_SLOPE, max(MIN_SLOPE, slope))
        self._slope_variance *= 1.0 - gain * tangent
        # Never quite certain: work changes.
        self._slope_variance = max(self._slope_variance, 1e-8)

    @property
    def slope(self) -> float:
        """Return the part by which one more unit of work slows others."""
        return self._slope

    def pace(
        self, target: TargetId, beside: int, now: Instant
    ) -> PaceEstimate:
        """Return the pace of one more unit of work with so many beside."""
        speed = self._speeds_by_id.get(target)
        company = math.log1p(self._slope * beside)
        if speed is None or speed.log_pace is None:
            pace = math.exp(self._usual(now) + company)
            return PaceEstimate(pace=pace, deviation=math.sqrt(_PRIOR))
        part = speed.fault_part(now)
        unseen = max(0.0, now - speed.seen_at)
        variance = min(_PRIOR, speed.variance + _DRIFT * unseen)
        variance += part * (1.0 - part) * speed.shift**2
        log_pace = speed.log_pace + part * speed.shift + company
        return PaceEstimate(
            pace=math.exp(log_pace), deviation=math.sqrt(variance)
        )

    def state(self, target: TargetId, now: Instant) -> SpeedState:
        """Tell a lasting pace from a fault."""
        speed = self._speeds_by_id.get(target)
        if speed is None or speed.log_pace is None:
            return SpeedState.UNKNOWN
        if speed.has_fault(now):
            return SpeedState.FAULTY
        return SpeedState.USUAL

    def _usual(self, now: Instant) -> float:
        """Return the median logarithm of the paces."""
        is_old = now >= self._median_at + _MEDIAN_SECONDS
        if self._median is None or is_old:
            self._median_at = now
            paces = [
                speed.log_pace
                for speed in self._speeds_by_id.values()
                if speed.log_pace is not None
            ]
            self._median = (
                median.median_low(paces) if paces else math.log(DEFAULT_PACE)
            )
        return self._median

    def forget(self, target: TargetId) -> None:
        """Forget a target that has started again or is gone."""
        self._speeds_by_id.pop(target, None)

    def records(self, now: Instant) -> list[SpeedRecord]:
        """Return what a successor has to know."""
        return [
            SpeedRecord(
                target=target,
                start=speed.start,
                log_pace=speed.log_pace,
                variance=speed.variance,
                age=max(0.0, now - speed.seen_at),
            )
            for target, speed in self._speeds_by_id.items()
            if speed.log_pace is not None
        ]

    def restore(self, record: SpeedRecord, now: Instant) -> None:
        """Take what another instance knew."""
        known = self._speeds_by_id.get(record.target)
        if known is not None and not known.start.is_same(record.start):
            return
        seen_at = Instant(now - record.age)
        if known is not None and known.seen_at >= seen_at:
            return
        self._speeds_by_id[record.target] = _Speed(
            start=record.start,
            log_pace=record.log_pace,
            variance=record.variance,
            seen_at=seen_at,
        )
