"""What is decided on the number of a service's targets."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ServiceName


class TargetKind(enum.Enum):
    """Say on which terms a target is paid for."""

    REGULAR = 'regular'
    # Cheaper, and may be taken back at short notice.
    REVOCABLE = 'revocable'


class ScalingBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the configuration allows in each data centre."""

    # Targets of both kinds together.
    least: int
    most: int
    # Seconds from an order until a new target serves.
    boot_seconds: float
    # Price of a second by data centre, 1 where it names none.
    prices_by_centre: dict[DataCentreId, float] = {}
    # Part of that price for a revocable target; none if there are none.
    revocable_part: float | None = None

    def price(self, centre: DataCentreId) -> float:
        """Return what a second of a regular target costs."""
        return self.prices_by_centre.get(centre, 1.0)


class TargetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Say how many targets there are to be in one data centre."""

    service: ServiceName
    data_centre: DataCentreId
    kind: TargetKind
    count: int


class OrderEnd(enum.Enum):
    """Say what became of an order."""

    ACCEPTED = 'accepted'
    # None are to be had there now.
    UNAVAILABLE = 'unavailable'
    # Too many calls at this moment.
    BUSY = 'busy'
    REFUSED = 'refused'
    # It may have been taken.
    UNKNOWN = 'unknown'
