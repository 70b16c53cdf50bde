"""Messages that every stream between instances uses."""

from __future__ import annotations

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.wire.messages.message import Message


class Hello(Message, frozen=True, tag='hello'):
    """Open a stream and identify the sender."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    # The instance that the sender expects at the dialled address.
    addressee: InstanceId


class Heartbeat(Message, frozen=True, tag='heartbeat'):
    """Check that the stream is alive, or confirm it."""


class Done(Message, frozen=True, tag='done'):
    """Confirm a request that returns no data."""


class Refusal(Message, frozen=True, tag='refusal'):
    """Return an error and its result code."""

    code: int
    text: str
    retry_after: float | None = None


StreamMessage = Hello | Heartbeat | Done | Refusal
