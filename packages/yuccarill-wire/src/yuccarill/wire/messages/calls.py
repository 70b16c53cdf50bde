"""Messages that forward calls to the home instance of their ticket."""

from __future__ import annotations

from yuccarill.core.ids import CallerId
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.wire.messages.message import Message


class CallRequest(Message, frozen=True, tag='call'):
    """Forward a call that is not idempotent to the home of its ticket."""

    ticket: str
    request_id: RequestId
    service: ServiceName
    path: str
    query: str
    content_type: str
    body: bytes
    # Seconds until the caller's deadline, as of sending the message.
    time_left: float
    caller: CallerId | None = None


class CallAnswer(Message, frozen=True, tag='answer'):
    """Return the complete answer of a target."""

    status: int
    content_type: str
    body: bytes


class CallRefusal(Message, frozen=True, tag='call_refusal'):
    """Return the error of the home instance for a call without answer."""

    code: int
    text: str
    retry_after: float | None = None


class OutcomeQuery(Message, frozen=True, tag='outcome_query'):
    """Ask the home instance of a ticket for the outcome of a request."""

    ticket: str
    request_id: RequestId


class OutcomeReply(Message, frozen=True, tag='outcome'):
    """Return the outcome of a request, and its answer if still stored."""

    outcome: str
    answer: CallAnswer | None = None


CallMessage = (
    CallRequest | CallAnswer | CallRefusal | OutcomeQuery | OutcomeReply
)
