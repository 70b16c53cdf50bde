"""Describe estimates of one target's speed."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import TargetId


class PaceEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the estimated time per unit of work and its uncertainty."""

    # Seconds.
    pace: float
    # Standard deviation of the logarithm of the pace.
    deviation: float


class SpeedState(enum.Enum):
    """Classify the current pace of a target."""

    UNKNOWN = 'unknown'
    USUAL = 'usual'
    # Slower than its lasting pace for longer than a transient slowdown.
    FAULTY = 'faulty'


class SpeedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an estimate for the handover to another instance."""

    target: TargetId
    start: TargetStart
    # Natural logarithm of the seconds per unit without concurrent units.
    log_pace: float
    variance: float
    # Seconds since the last measurement.
    age: float
