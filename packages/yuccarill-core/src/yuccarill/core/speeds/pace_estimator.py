"""Estimate the lasting pace of each target of one service.

A pace is the seconds per unit of work. Concurrent units slow each other.
"""

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

# Units of work in this time are averaged into one measurement, since
# concurrent units share the pauses of their target.
WINDOW_SECONDS = 0.1
# Variance per second that drift adds to the logarithm of a lasting pace.
_DRIFT = 0.005**2
# Variance of the logarithm of one measurement.
_NOISE = 0.08**2
# Variance of the logarithm of a lasting pace around the service's median.
_PRIOR = 0.4**2
# Standard errors beyond which a measurement is an outlier.
_OUTLIER_ERRORS = 3.0
# Logarithm of the smallest ratio to the lasting pace that is an outlier.
_MIN_LOG_SHIFT = math.log(1.4)
# Seconds of outliers after which a target is faulty, or its faster pace is the
# lasting one; longer than transient slowdowns of a busy machine.
FAULT_SECONDS = 0.7
# Seconds after which the pace of a faulty target becomes its lasting pace.
LASTING_SECONDS = 30.0
# Time constant of the decay of a fault's probability without measurements;
# otherwise a recovered target would never be used again.
UNSEEN_SECONDS = 3.0
# Fraction by which each concurrent unit slows a unit, and its variance.
_INITIAL_SLOPE = 0.01
_INITIAL_SLOPE_VARIANCE = 0.01**2
MIN_SLOPE = 0.005
MAX_SLOPE = 0.1
# Seconds for which the median of the service is cached.
_MEDIAN_SECONDS = 0.1
# Seconds per unit of work before the first measurement.
DEFAULT_PACE = 0.04


class _Speed(msgspec.Struct, kw_only=True):
    """Hold the estimate for one process start of a target."""

    start: TargetStart = TargetStart()
    log_pace: float | None = None
    variance: float = _PRIOR
    # Smoothed deviation of outliers from `log_pace`; start of the outliers.
    shift: float = 0.0
    shifted_at: Instant | None = None
    measured_at: Instant = Instant(-math.inf)
    # The measurement in progress.
    window_began_at: Instant = Instant(-math.inf)
    seconds: float = 0.0
    concurrent: float = 0.0
    units: int = 0

    def fault_probability(self, now: Instant) -> float:
        """Return the probability that the target has a fault."""
        return self.fault_progress() * self._freshness(now)

    def fault_progress(self) -> float:
        """Return the duration of outliers as a fraction of FAULT_SECONDS."""
        if self.shifted_at is None:
            return 0.0
        return min(1.0, (self.measured_at - self.shifted_at) / FAULT_SECONDS)

    def has_fault(self, now: Instant) -> bool:
        is_lasting = self.shift > 0.0 and self.fault_progress() >= 1.0
        return is_lasting and self._freshness(now) > 0.5

    def _freshness(self, now: Instant) -> float:
        idle = max(0.0, now - self.measured_at - WINDOW_SECONDS)
        return math.exp(-idle / UNSEEN_SECONDS)


class PaceEstimator:
    """Estimate the speed of the targets of one service.

    Applies a scalar Kalman filter to the logarithm of each pace, gated by the
    normalised innovation of a measurement, and another to the slope that all
    targets share. Source: Bar-Shalom, Li and Kirubarajan,
    Estimation with Applications to Tracking and Navigation, 2001, sections
    5.2 and 5.4 (innovations), 11.7 (manoeuvres detected by duration).
    """

    def __init__(self) -> None:
        self._speeds_by_id: dict[TargetId, _Speed] = {}
        self._slope = _INITIAL_SLOPE
        self._slope_variance = _INITIAL_SLOPE_VARIANCE
        self._cached_median: float | None = None
        self._median_at = Instant(-math.inf)

    def track_start(self, target: TargetId, start: TargetStart) -> None:
        """Drop the estimate of an earlier process start of a target."""
        known = self._speeds_by_id.get(target)
        if known is None:
            self._speeds_by_id[target] = _Speed(start=start)
        elif known.start.is_same(start):
            known.start = start
        else:
            self._speeds_by_id[target] = _Speed(start=start)

    def record_unit(
        self, target: TargetId, seconds: float, concurrent: int, now: Instant
    ) -> None:
        """Record the duration of a unit and its number of concurrent units."""
        speed = self._speeds_by_id.setdefault(target, _Speed())
        if not speed.units:
            speed.window_began_at = now
        speed.seconds += seconds
        speed.concurrent += concurrent
        speed.units += 1
        if now >= speed.window_began_at + WINDOW_SECONDS:
            self._measure(speed, now)

    def _measure(self, speed: _Speed, now: Instant) -> None:
        seconds = max(1e-6, speed.seconds / speed.units)
        concurrent = speed.concurrent / speed.units
        speed.seconds = speed.concurrent = 0.0
        speed.units = 0
        measured = math.log(seconds)
        log_slowdown = math.log1p(self._slope * concurrent)
        if speed.log_pace is None:
            speed.log_pace = measured - log_slowdown
            speed.variance = _PRIOR / 4.0
            speed.measured_at = now
            return
        idle = min(now - speed.measured_at, LASTING_SECONDS)
        speed.variance += _DRIFT * max(0.0, idle)
        speed.measured_at = now
        innovation = measured - log_slowdown - speed.log_pace
        spread = math.sqrt(speed.variance + _NOISE)
        if abs(innovation) > max(_MIN_LOG_SHIFT, _OUTLIER_ERRORS * spread):
            self._track_shift(speed, innovation, now)
            return
        speed.shifted_at = None
        speed.shift = 0.0
        gain = speed.variance / (speed.variance + _NOISE)
        speed.log_pace += gain * innovation
        speed.variance *= 1.0 - gain
        self._learn_slope(innovation, concurrent)

    def _track_shift(
        self, speed: _Speed, innovation: float, now: Instant
    ) -> None:
        """Track outliers; adopt their pace if they last."""
        if speed.shifted_at is None or speed.shift * innovation < 0.0:
            speed.shifted_at = now
            speed.shift = innovation
        speed.shift += 0.3 * (innovation - speed.shift)
        duration = now - speed.shifted_at
        is_fault = speed.shift > 0.0
        if duration > (LASTING_SECONDS if is_fault else FAULT_SECONDS):
            assert speed.log_pace is not None
            speed.log_pace += speed.shift
            speed.variance = _PRIOR / 4.0
            speed.shifted_at = None
            speed.shift = 0.0

    def _learn_slope(self, innovation: float, concurrent: float) -> None:
        if concurrent <= 0.0:
            return
        tangent = concurrent / (1.0 + self._slope * concurrent)
        variance = tangent**2 * self._slope_variance + _NOISE
        gain = self._slope_variance * tangent / variance
        slope = self._slope + gain * innovation
        self._slope = min(MAX_SLOPE, max(MIN_SLOPE, slope))
        self._slope_variance *= 1.0 - gain * tangent
        # Bounded below, so that the slope adapts to a change of work.
        self._slope_variance = max(self._slope_variance, 1e-8)

    @property
    def slope(self) -> float:
        """Return the fraction by which each concurrent unit slows a unit."""
        return self._slope

    def pace(
        self, target: TargetId, concurrent: int, now: Instant
    ) -> PaceEstimate:
        """Return the pace of a unit that runs with concurrent units."""
        speed = self._speeds_by_id.get(target)
        log_slowdown = math.log1p(self._slope * concurrent)
        if speed is None or speed.log_pace is None:
            pace = math.exp(self._median_log_pace(now) + log_slowdown)
            return PaceEstimate(pace=pace, deviation=math.sqrt(_PRIOR))
        probability = speed.fault_probability(now)
        idle = max(0.0, now - speed.measured_at)
        variance = min(_PRIOR, speed.variance + _DRIFT * idle)
        variance += probability * (1.0 - probability) * speed.shift**2
        log_pace = speed.log_pace + probability * speed.shift + log_slowdown
        return PaceEstimate(
            pace=math.exp(log_pace), deviation=math.sqrt(variance)
        )

    def state(self, target: TargetId, now: Instant) -> SpeedState:
        """Return whether a target is at its lasting pace or faulty."""
        speed = self._speeds_by_id.get(target)
        if speed is None or speed.log_pace is None:
            return SpeedState.UNKNOWN
        if speed.has_fault(now):
            return SpeedState.FAULTY
        return SpeedState.USUAL

    def _median_log_pace(self, now: Instant) -> float:
        """Return the median `log_pace` of the measured targets."""
        is_old = now >= self._median_at + _MEDIAN_SECONDS
        if self._cached_median is None or is_old:
            self._median_at = now
            paces = [
                speed.log_pace
                for speed in self._speeds_by_id.values()
                if speed.log_pace is not None
            ]
            self._cached_median = (
                median.median_low(paces) if paces else math.log(DEFAULT_PACE)
            )
        return self._cached_median

    def forget(self, target: TargetId) -> None:
        """Drop the estimate of a target that was restarted or removed."""
        self._speeds_by_id.pop(target, None)

    def records(self, now: Instant) -> list[SpeedRecord]:
        """Return all estimates for the handover to a successor."""
        return [
            SpeedRecord(
                target=target,
                start=speed.start,
                log_pace=speed.log_pace,
                variance=speed.variance,
                age=max(0.0, now - speed.measured_at),
            )
            for target, speed in self._speeds_by_id.items()
            if speed.log_pace is not None
        ]

    def restore(self, record: SpeedRecord, now: Instant) -> None:
        """Load an estimate of another instance unless a newer one exists."""
        known = self._speeds_by_id.get(record.target)
        if known is not None and not known.start.is_same(record.start):
            return
        measured_at = Instant(now - record.age)
        if known is not None and known.measured_at >= measured_at:
            return
        self._speeds_by_id[record.target] = _Speed(
            start=record.start,
            log_pace=record.log_pace,
            variance=record.variance,
            measured_at=measured_at,
        )
