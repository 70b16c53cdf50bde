"""What instances tell each other of a service's capacity."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName


class DemandClass(msgspec.Struct, frozen=True, kw_only=True):
    """Name whose requests share one part of a service's capacity."""

    # 0 is the most urgent.
    priority: int
    # None for requests without an account, and for the smallest accounts
    # together.
    account: AccountName | None = None


class ClassDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Say what one class asks of an instance."""

    demand_class: DemandClass
    # Requests a second that came, those that were refused included.
    offered: float
    # Requests that wait now.
    waiting: int = 0


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the broker of a service what an instance is asked for."""

    service: ServiceName
    instance: InstanceId
    # Grows with each report, so that one that arrives late is left out.
    number: int
    demands: tuple[ClassDemand, ...]
    # Requests of this instance that targets run now.
    in_flight: int
    # Seconds that targets take for a request, none if it is not known.
    service_seconds: float | None = None
    # Requests a second that targets finished, and refused for want of room.
    finished: float = 0.0
    refused: float = 0.0


class ClassGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Say how much of a service's capacity one class may use."""

    demand_class: DemandClass
    # Requests a second that may be sent.
    rate: float


class CapacityGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Lend an instance a part of a service's capacity."""

    service: ServiceName
    # The number of the report that this answers.
    number: int
    grants: tuple[ClassGrant, ...]
    # Seconds from the sending of the report for which it may be used.
    valid_for: float
    # False where the service has room for all that is asked.
    is_congested: bool = True
    # Seconds after which capacity is expected for those that are refused.
    retry_after: float = 0.0
