"""Define what every stream between instances carries."""

from __future__ import annotations

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.wire.messages.message import Message


class Hello(Message, frozen=True, tag='hello'):
    """Open a stream and say who speaks."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    # Who is meant to answer under the dialled address.
    addressee: InstanceId


class Heartbeat(Message, frozen=True, tag='heartbeat'):
    """Ask whether the stream still carries, or confirm it."""


class Done(Message, frozen=True, tag='done'):
    """Confirm a request that has nothing to return."""


class Refusal(Message, frozen=True, tag='refusal'):
    """Return an error by its result code."""

    code: int
    text: str
    retry_after: float | None = None


StreamMessage = Hello | Heartbeat | Done | Refusal
