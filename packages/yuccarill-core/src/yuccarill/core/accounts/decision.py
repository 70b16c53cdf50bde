"""Decide whether a request with a key is run, refused or put off."""

from __future__ import annotations

import enum

import msgspec


class KeyStanding(enum.Enum):
    """Say what the configuration in force here knows of a key."""

    HELD = 'held by an account'
    # An earlier version held it.
    REMOVED = 'taken away'
    UNKNOWN = 'unknown'


class Look(enum.Enum):
    """Say what came of reading the newest configuration for a key."""

    NOT_YET = 'not yet'
    ANSWERED = 'answered'
    FAILED = 'failed'


class Verdict(enum.Enum):
    """Say what becomes of a request."""

    ADMIT = 'admit'
    # The newest configuration is read first, then it is decided again.
    LOOK = 'look'
    # For good: its caller is not to come back with this key.
    REFUSE = 'refuse'
    # Another instance, or this one later, may know the key.
    PUT_OFF = 'put off'


class RevocationPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how long a configuration is believed, in seconds."""

    # Without it, an instance that is cut off serves the accounts that it
    # knows for as long as that lasts.
    is_strict: bool = False
    max_age: float = 5.0


def decide(
    standing: KeyStanding, look: Look, age: float, policy: RevocationPolicy
) -> Verdict:
    """Decide on one request, by a configuration that was heard `age` ago.

    A client that gets a refusal does not come back. An instance that is a
    version behind, or cut off, must not answer for good what it can't know:
    a key that was added a moment ago is looked up once, and where nobody can
    tell, the client is sent elsewhere.
    """
    match standing:
        case KeyStanding.HELD if policy.is_strict and age > policy.max_age:
            return Verdict.PUT_OFF
        case KeyStanding.HELD:
            return Verdict.ADMIT
        case KeyStanding.REMOVED:
            return Verdict.REFUSE
        case KeyStanding.UNKNOWN:
            return _UNKNOWN_BY_LOOK[look]


_UNKNOWN_BY_LOOK = {
    Look.NOT_YET: Verdict.LOOK,
    Look.ANSWERED: Verdict.REFUSE,
    Look.FAILED: Verdict.PUT_OFF,
}
