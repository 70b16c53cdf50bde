"""Messages that hand over shard leases between instances."""

from __future__ import annotations

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import SessionId
from yuccarill.core.ids import ShardNumber
from yuccarill.wire.messages.message import Message


class LeaseAsk(Message, frozen=True, tag='lease_ask'):
    """Ask a holder for shards that are assigned to the sender."""

    instance: InstanceId
    session: SessionId
    shards: tuple[ShardNumber, ...]


class LeaseInvite(Message, frozen=True, tag='lease_invite'):
    """Ask an instance for its session, to hand shards over to it."""


class LeaseSession(Message, frozen=True, tag='lease_session'):
    """Return the session that can receive shards, if there is one."""

    session: SessionId | None


LeaseMessage = LeaseAsk | LeaseInvite | LeaseSession
