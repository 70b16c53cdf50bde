"""Decide at an instance which requests are sent on, wait or are refused."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity.messages import DemandReport
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


class Gate(Protocol):
    """Rule on the requests of one service at one instance."""

    def offer(self, request: CapacityRequest, now: Instant) -> Ruling:
        """Rule on a request that has just come."""
        ...

    def admit(self, now: Instant) -> list[tuple[CapacityRequest, Ruling]]:
        """Return the waiting requests on which there is a ruling now."""
        ...

    def wakes_at(self, now: Instant) -> Instant | None:
        """Return when `admit` has something new to say by itself."""
        ...

    def withdraw(self, request: CapacityRequest) -> None:
        """Forget a waiting request whose caller has left."""
        ...

    def may_try_again(self, request: CapacityRequest, now: Instant) -> bool:
        """Tell whether a second attempt may be sent, and count it."""
        ...

    def may_hedge(self, request: CapacityRequest, now: Instant) -> bool:
        """Tell whether a second target may run a request, and count it."""
        ...

    def started(self, now: Instant) -> None:
        """Learn that an attempt is sent."""
        ...

    def finished(self, seconds: float, now: Instant) -> None:
        """Learn that a target has answered an attempt."""
        ...

    def refused(self, now: Instant) -> None:
        """Learn that a target had no room for an attempt."""
        ...

    def gave_up(self, now: Instant) -> None:
        """Learn that an attempt ended with no word of its target."""
        ...

    def report(self, now: Instant) -> DemandReport | None:
        """Return what the broker has to know now, none while all is quiet."""
        ...

    def grant(self, grant: CapacityGrant, sent_at: Instant) -> None:
        """Take what the broker lends, in answer to a report sent then."""
        ...
