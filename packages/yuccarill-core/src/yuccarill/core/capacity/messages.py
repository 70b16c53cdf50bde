"""Define the messages between instances about a service's capacity."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName


class DemandClass(msgspec.Struct, frozen=True, kw_only=True):
    """Identify requests that share one part of a service's capacity."""

    # 0 is the most urgent priority of callers' requests; calls that text
    # generation depends on precede it.
    priority: int
    # None for requests without an account, and for the combined smallest
    # accounts.
    account: AccountName | None = None


class ClassDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Report the demand of one class at an instance."""

    demand_class: DemandClass
    # Arrived requests a second, including refused ones.
    offered: float
    # Number of accounts in the class.
    accounts: int = 1
    # Number of waiting requests.
    waiting: int = 0


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report an instance's demand to the broker of a service."""

    service: ServiceName
    instance: InstanceId
    # Increases with each report, so that a delayed report is ignored.
    number: int
    demands: tuple[ClassDemand, ...]
    # Recent average of this instance's requests at targets.
    in_flight: float
    # Seconds within which callers want their answers.
    wanted_seconds: float = 0.0
    # Requests a second that targets finished, and refused as over capacity.
    finished: float = 0.0
    refused: float = 0.0
    # Number of higher-ranked brokers that did not answer.
    passed_over: int = 0


class ClassGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Lend one class a rate of requests."""

    demand_class: DemandClass
    # Requests a second.
    rate: float
    # Lent fraction of the class's demand in the whole fleet.
    part: float


class ClassPart(msgspec.Struct, frozen=True, kw_only=True):
    """Admit a fraction of one class's requests."""

    demand_class: DemandClass
    part: float


class PriorityLevel(msgspec.Struct, frozen=True, kw_only=True):
    """Set the rate up to which a priority's accounts are fully served."""

    priority: int
    # Requests a second of one account in the whole fleet.
    level: float


class CapacityGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Lend an instance a part of a service's capacity."""

    service: ServiceName
    # Number of the report that the grant answers.
    number: int
    # Classes with excess demand.
    grants: tuple[ClassGrant, ...]
    # Classes with excess demand that the instance did not report: with many
    # accounts, an instance rarely has earlier requests of the same account.
    parts: tuple[ClassPart, ...] = ()
    levels: tuple[PriorityLevel, ...] = ()
    # Seconds of validity, from the sending of the report.
    valid_for: float
    # False if the service can serve all demand.
    is_congested: bool = True
    # Second attempts a second that the instance may send.
    second_rate: float = 0.0
    # Seconds after which capacity for refused requests is expected.
    retry_after: float = 0.0
    # Unused fraction of the service's capacity.
    free_part: float = 0.0
