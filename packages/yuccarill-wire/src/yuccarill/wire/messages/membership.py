"""Define how instances find out which of them are alive."""

from __future__ import annotations

from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.member import Member
from yuccarill.wire.messages.message import Message


class Probe(Message, frozen=True, tag='probe'):
    """Ask whether an instance is alive and tell it news of members."""

    sender: InstanceId
    # Equal views have equal digests.
    digest: int
    records: tuple[Member, ...] = ()


class ProbeReply(Message, frozen=True, tag='probed'):
    """Confirm a probe and the news it carried."""

    digest: int
    records: tuple[Member, ...] = ()


class IndirectProbe(Message, frozen=True, tag='indirect'):
    """Ask an instance to probe another."""

    target: Member


class IndirectResult(Message, frozen=True, tag='result'):
    """Tell whether another instance was reached."""

    was_reached: bool


class ViewRequest(Message, frozen=True, tag='view-request'):
    """Ask for all statements about members."""


class ViewReply(Message, frozen=True, tag='view'):
    """Return all statements about members."""

    records: tuple[Member, ...]


MembershipMessage = (
    Probe
    | ProbeReply
    | IndirectProbe
    | IndirectResult
    | ViewRequest
    | ViewReply
)
