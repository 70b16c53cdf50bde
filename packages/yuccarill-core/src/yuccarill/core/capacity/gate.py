"""Define what a gate is asked, and what it answers."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId


class Answer(enum.Enum):
    """Say what is to become of a request now."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


class CapacityRequest(msgspec.Struct, kw_only=True, eq=False):
    """Hold one request that wants to be sent to a service."""

    id: RequestId
    demand_class: DemandClass
    arrived_at: Instant
    # When its answer stops being worth its full value to the caller.
    wanted_by: Instant
    # When its caller gives up.
    deadline: Instant


class Ruling(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a decision and the prediction that it was made by."""

    answer: Answer
    # Seconds that the request would wait.
    predicted_wait: float = 0.0
    # Seconds after which a refused caller had best come back.
    retry_after: float = 0.0
    cause: str = ''
