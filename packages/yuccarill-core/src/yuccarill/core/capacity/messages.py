"""What instances tell each other of a service's capacity."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName


class DemandClass(msgspec.Struct, frozen=True, kw_only=True):
    """Name whose requests share one part of a service's capacity."""

    # 0 is the most urgent of callers' requests; calls that a text needs go
    # before them.
    priority: int
    # None for requests without an account, and for the smallest accounts
    # together.
    account: AccountName | None = None


class ClassDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Say what one class asks of an instance."""

    demand_class: DemandClass
    # Requests a second that came, those that were refused included.
    offered: float
    # Accounts that the class holds together.
    accounts: int = 1
    # Requests that wait now.
    waiting: int = 0


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the broker of a service what an instance is asked for."""

    service: ServiceName
    instance: InstanceId
    # Grows with each report, so that one that arrives late is left out.
    number: int
    demands: tuple[ClassDemand, ...]
    # Requests of this instance at targets, on the average of late.
    in_flight: float
    # Seconds within which callers want their answers.
    wanted_seconds: float = 0.0
    # Requests a second that targets finished, and refused for want of room.
    finished: float = 0.0
    refused: float = 0.0
    # Instances that come before the one that is asked and did not answer.
    passed_over: int = 0


class ClassGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Say how much of a service's capacity one class may use."""

    demand_class: DemandClass
    # Requests a second that may be sent.
    rate: float
    # The part of the class's requests that this is.
    part: float


class ClassPart(msgspec.Struct, frozen=True, kw_only=True):
    """Say what part of a class's requests may be sent."""

    demand_class: DemandClass
    part: float


class PriorityLevel(msgspec.Struct, frozen=True, kw_only=True):
    """Say up to where a priority's accounts get all that they ask for."""

    priority: int
    # Requests a second of one account over the whole fleet.
    level: float


class CapacityGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Lend an instance a part of a service's capacity."""

    service: ServiceName
    # The number of the report that this answers.
    number: int
    # The classes that ask for more than their part.
    grants: tuple[ClassGrant, ...]
    # The same of classes that the instance did not report: where there are
    # many accounts, most of an instance's requests are the first of theirs.
    parts: tuple[ClassPart, ...] = ()
    levels: tuple[PriorityLevel, ...] = ()
    # Seconds from the sending of the report for which it may be used.
    valid_for: float
    # False where the service has room for all that is asked.
    is_congested: bool = True
    # Second attempts a second that the instance may make.
    second_rate: float = 0.0
    # Seconds after which capacity is expected for those that are refused.
    retry_after: float = 0.0
    # The part of the service's capacity that nobody uses.
    free_part: float = 0.0
