"""Messages of failure detection and membership gossip."""

from __future__ import annotations

from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.member import Member
from yuccarill.wire.messages.message import Message


class Probe(Message, frozen=True, tag='probe'):
    """Ask whether an instance is alive, with recent member records."""

    sender: InstanceId
    # Digest of the sender's view; equal views have equal digests.
    digest: int
    records: tuple[Member, ...] = ()


class ProbeReply(Message, frozen=True, tag='probed'):
    """Confirm a probe and the member records in it."""

    digest: int
    records: tuple[Member, ...] = ()


class IndirectProbe(Message, frozen=True, tag='indirect'):
    """Ask an instance to probe another one."""

    target: Member


class IndirectResult(Message, frozen=True, tag='result'):
    """Return whether the instance to probe has answered."""

    was_reached: bool


class ViewRequest(Message, frozen=True, tag='view-request'):
    """Ask for all member records."""


class ViewReply(Message, frozen=True, tag='view'):
    """Return all member records."""

    records: tuple[Member, ...]


MembershipMessage = (
    Probe
    | ProbeReply
    | IndirectProbe
    | IndirectResult
    | ViewRequest
    | ViewReply
)
