"""Define how a caller's request reaches its ticket's home."""

from __future__ import annotations

from yuccarill.core.ids import CallerId
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.wire.messages.message import Message


class CallRequest(Message, frozen=True, tag='call'):
    """Pass a non-repeatable call to its ticket's home."""

    ticket: str
    request_id: RequestId
    service: ServiceName
    path: str
    query: str
    content_type: str
    body: bytes
    # Seconds left to the caller's deadline when the message was sent.
    time_left: float
    caller: CallerId | None = None


class CallAnswer(Message, frozen=True, tag='answer'):
    """Return a whole answer of a target."""

    status: int
    content_type: str
    body: bytes


class CallRefusal(Message, frozen=True, tag='call_refusal'):
    """Return the home's own verdict on a call that has no answer."""

    code: int
    text: str
    retry_after: float | None = None


class OutcomeQuery(Message, frozen=True, tag='outcome_query'):
    """Ask a ticket's home what became of a request."""

    ticket: str
    request_id: RequestId


class OutcomeReply(Message, frozen=True, tag='outcome'):
    """Tell what became of a request, and its answer if it is kept."""

    outcome: str
    answer: CallAnswer | None = None


CallMessage = (
    CallRequest | CallAnswer | CallRefusal | OutcomeQuery | OutcomeReply
)
