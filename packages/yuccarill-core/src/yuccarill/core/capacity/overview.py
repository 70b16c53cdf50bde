"""Show operators who is lent what of a service, who waits and why."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import ServiceName


class ClassOverview(msgspec.Struct, frozen=True, kw_only=True):
    """Show one priority and account; rates are requests a second."""

    priority: int
    # None for the smallest accounts together, and for none.
    account: AccountName | None
    offered: float
    # None where nothing bounds it.
    lent: float | None = None
    refused: float = 0.0
    waiting: int = 0
    # Seconds that one more request would wait, none if for ever.
    predicted_wait: float | None = 0.0


class ServiceOverview(msgspec.Struct, frozen=True, kw_only=True):
    """Show one service as an instance knows it."""

    service: ServiceName
    is_congested: bool
    # What lends to this instance, none if the local limit decides.
    broker: str | None
    places: int
    in_flight: int
    # Seconds that targets take.
    service_seconds: float | None
    classes: tuple[ClassOverview, ...]
    # Of the broker, where this instance is it: what the service can serve,
    # what is lent of it, and what the whole fleet is asked for.
    capacity: float | None = None
    lent: float | None = None
    fleet: tuple[ClassOverview, ...] = ()
