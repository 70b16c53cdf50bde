"""The session record; its renewal renews all leases of an instance."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import SessionId

_PREFIX = 'leases/sessions/'


class SessionState(enum.Enum):
    """Whether a session holds its shards."""

    ACTIVE = 'active'
    RELEASED = 'released'
    REVOKED = 'revoked'


class SessionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An instance's newest session, as stored."""

    incarnation: Incarnation
    session: SessionId
    # Heartbeat counter: identifies the renewal that a reader sees.
    beat: int
    state: SessionState = SessionState.ACTIVE


def session_key(instance: InstanceId) -> str:
    """Return the key of an instance's session."""
    return _PREFIX + instance


def encode(record: SessionRecord) -> bytes:
    """Encode a record for the key-value store."""
    return msgspec.json.encode(record)


def decode(version: int, data: bytes) -> SessionRecord | None:
    """Decode a record; return None if the key is absent."""
    return _DECODER.decode(data) if version else None


def has_ended(record: SessionRecord | None, session: SessionId) -> bool:
    """Return whether a record proves that a session has ended."""
    if record is None:
        return False
    if record.session != session:
        return True
    return record.state is not SessionState.ACTIVE


_DECODER = msgspec.json.Decoder(SessionRecord)
