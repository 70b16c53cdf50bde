"""Describe the limits of scaling and the orders for targets."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ServiceName


class TargetKind(enum.Enum):
    """Name the pricing terms of a target."""

    REGULAR = 'regular'
    # Cheaper; the platform may reclaim it at short notice.
    REVOCABLE = 'revocable'


class ScalingBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the configured limits that apply to each data centre."""

    # Limits of both kinds together; regular targets alone reach `least`.
    least: int
    most: int
    # Seconds from an order until a new target accepts requests.
    boot_seconds: float
    # Price per second by data centre; 1 if not given.
    prices_by_centre: dict[DataCentreId, float] = {}
    # Revocable price as a fraction of the regular one; None disables the kind.
    revocable_part: float | None = None

    def price(self, centre: DataCentreId) -> float:
        """Return the price of a regular target per second."""
        return self.prices_by_centre.get(centre, 1.0)


class TargetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Set the number of targets of one kind in one data centre."""

    service: ServiceName
    data_centre: DataCentreId
    kind: TargetKind
    count: int


class OrderEnd(enum.Enum):
    """Name the result of an order."""

    ACCEPTED = 'accepted'
    # The data centre has no capacity at present.
    UNAVAILABLE = 'unavailable'
    # Rate limited.
    BUSY = 'busy'
    REFUSED = 'refused'
    # No response: the order may have been accepted.
    UNKNOWN = 'unknown'
