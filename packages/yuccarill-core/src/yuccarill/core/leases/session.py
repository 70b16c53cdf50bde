"""The record under which an instance renews all its leases at once."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import SessionId

_PREFIX = 'leases/sessions/'


class SessionState(enum.Enum):
    """Say whether a session's shards may be taken."""

    ACTIVE = 'active'
    RELEASED = 'released'
    REVOKED = 'revoked'


class SessionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an instance's newest session."""

    incarnation: Incarnation
    session: SessionId
    # Differs in each write of a session, so that a reader tells which
    # renewal it sees.
    beat: int
    state: SessionState = SessionState.ACTIVE


def session_key(instance: InstanceId) -> str:
    """Return the key of an instance's session."""
    return _PREFIX + instance


def encode(record: SessionRecord) -> bytes:
    """Encode a record for the key-value service."""
    return msgspec.json.encode(record)


def decode(version: int, data: bytes) -> SessionRecord | None:
    """Decode a record as it was read, none if it is absent."""
    return _DECODER.decode(data) if version else None


def has_ended(record: SessionRecord | None, session: SessionId) -> bool:
    """Tell whether a record proves that a session ended for good."""
    if record is None:
        return False
    if record.session != session:
        return True
    return record.state is not SessionState.ACTIVE


_DECODER = msgspec.json.Decoder(SessionRecord)
