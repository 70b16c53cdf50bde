"""Build the capacity requests of client requests and of scores."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.capacity import fairness
from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.routes import Route
    from yuccarill.core.ids import RequestId


def from_client(
    route: Route, request: ClientRequest, deadline: Instant
) -> CapacityRequest:
    """Return the capacity request of a client request."""
    priority = request.account_priority
    return CapacityRequest(
        id=request.id,
        demand_class=DemandClass(
            priority=route.priority if priority is None else priority,
            account=request.account,
        ),
        arrived_at=request.arrived_at,
        wanted_by=Instant(request.arrived_at + route.objective),
        deadline=deadline,
    )


def from_score(
    route: Route, request: RequestId, now: Instant, deadline: Instant
) -> CapacityRequest:
    """Return the capacity request of a call that scores a text."""
    return CapacityRequest(
        id=request,
        demand_class=DemandClass(priority=fairness.INTERNAL_PRIORITY),
        arrived_at=now,
        wanted_by=Instant(now + route.objective),
        deadline=deadline,
    )
