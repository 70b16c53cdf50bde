"""What is known of one target's speed."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import TargetId


class PaceEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the time that a unit of work takes, and how sure that is."""

    # Seconds.
    pace: float
    # Standard deviation of the logarithm of the pace.
    deviation: float


class SpeedState(enum.Enum):
    """Say what a target's pace looks like at this moment."""

    UNKNOWN = 'unknown'
    USUAL = 'usual'
    # Slower than its own lasting pace for longer than moments last.
    FAULTY = 'faulty'


class SpeedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an estimate as one instance hands it to the next."""

    target: TargetId
    start: TargetStart
    # Natural logarithm of the pace that it has by itself, in seconds.
    log_pace: float
    variance: float
    # Seconds since it was last seen at work.
    age: float
