"""Define the requests to a capacity gate and its decisions."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId


class GateVerdict(enum.Enum):
    """List the possible decisions on a request."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


class CapacityRequest(msgspec.Struct, kw_only=True, eq=False):
    """Describe a request to be sent to a service."""

    id: RequestId
    demand_class: DemandClass
    arrived_at: Instant
    # Instant after which the answer has less value to the caller.
    wanted_by: Instant
    # Instant at which the caller gives up.
    deadline: Instant


class GateDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Store a decision on a request and the predicted times."""

    answer: GateVerdict
    # Seconds that the request is expected to wait.
    predicted_wait: float = 0.0
    # Seconds after which a refused caller should retry.
    retry_after: float = 0.0
    cause: str = ''
