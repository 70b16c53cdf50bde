"""What is known of one target's speed."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import Instant
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


class SpeedBook(Protocol):
    """Know the speed of the targets of one service."""

    def follow(self, target: TargetId, start: TargetStart) -> None:
        """Forget what is known of an earlier start of a target."""
        ...

    def saw(
        self,
        target: TargetId,
        seconds: float,
        beside: int,
        now: Instant,
    ) -> None:
        """Learn how long a unit of work took with so many others beside."""
        ...

    def pace(
        self, target: TargetId, beside: int, now: Instant
    ) -> PaceEstimate:
        """Return the pace of one more unit of work with so many beside."""
        ...

    def state(self, target: TargetId, now: Instant) -> SpeedState:
        """Tell a lasting pace from a fault."""
        ...

    def forget(self, target: TargetId) -> None:
        """Forget a target that has started again or is gone."""
        ...

    def records(self, now: Instant) -> list[SpeedRecord]:
        """Return what a successor has to know."""
        ...

    def restore(self, record: SpeedRecord, now: Instant) -> None:
        """Take what another instance knew."""
        ...
