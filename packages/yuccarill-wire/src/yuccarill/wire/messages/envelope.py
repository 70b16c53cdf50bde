"""Envelope that matches requests and replies on a stream."""

from __future__ import annotations

import msgspec

from yuccarill.wire.messages.calls import CallMessage
from yuccarill.wire.messages.leases import LeaseMessage
from yuccarill.wire.messages.membership import MembershipMessage
from yuccarill.wire.messages.records import RecordMessage
from yuccarill.wire.messages.samples import SampleMessage
from yuccarill.wire.messages.steps import StepMessage
from yuccarill.wire.messages.streams import StreamMessage
from yuccarill.wire.messages.weights import WeightMessage

Body = (
    StreamMessage
    | RecordMessage
    | MembershipMessage
    | CallMessage
    | StepMessage
    | LeaseMessage
    | SampleMessage
    | WeightMessage
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message and the number that matches it to its reply."""

    # Number of the request on its stream; its reply has the same number.
    number: int
    is_reply: bool
    body: Body
