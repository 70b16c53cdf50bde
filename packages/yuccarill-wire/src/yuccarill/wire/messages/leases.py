"""Define how instances hand over shard leases."""

from __future__ import annotations

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import SessionId
from yuccarill.core.ids import ShardNumber
from yuccarill.wire.messages.message import Message


class LeaseAsk(Message, frozen=True, tag='lease_ask'):
    """Ask a holder for shards that are placed on the one who asks."""

    instance: InstanceId
    session: SessionId
    shards: tuple[ShardNumber, ...]


class LeaseInvite(Message, frozen=True, tag='lease_invite'):
    """Ask an instance for the session to hand shards over to."""


class LeaseSession(Message, frozen=True, tag='lease_session'):
    """Name a session that may be given shards, if there is one."""

    session: SessionId | None


LeaseMessage = LeaseAsk | LeaseInvite | LeaseSession
