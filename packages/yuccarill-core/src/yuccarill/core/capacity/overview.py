"""Show operators how a service's capacity is lent and used."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import ServiceName


class ClassOverview(msgspec.Struct, frozen=True, kw_only=True):
    """Summarize one priority and account; rates are requests a second."""

    priority: int
    # None for requests without an account and the combined smallest accounts.
    account: AccountName | None
    offered: float
    # None if unlimited.
    lent: float | None = None
    refused: float = 0.0
    waiting: int = 0
    # Seconds that one more request would wait, None if indefinitely.
    predicted_wait: float | None = 0.0


class ServiceOverview(msgspec.Struct, frozen=True, kw_only=True):
    """Summarize one service as observed by an instance."""

    service: ServiceName
    is_congested: bool
    # Broker that lends to this instance, None if the local limit decides.
    broker: str | None
    places: int
    in_flight: int
    # Mean service time of targets.
    service_seconds: float | None
    classes: tuple[ClassOverview, ...]
    # Set only where this instance is the broker: the service's capacity, the
    # lent rate and the demand of the fleet.
    capacity: float | None = None
    lent: float | None = None
    fleet: tuple[ClassOverview, ...] = ()
