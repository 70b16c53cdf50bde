"""Decide whether a request with a key is admitted, refused or deferred."""

from __future__ import annotations

import enum

import msgspec


class KeyState(enum.Enum):
    """Name the state of a key in the configuration of this instance."""

    HELD = 'held by an account'
    # Held by an account in an earlier version of the configuration.
    REMOVED = 'taken away'
    UNKNOWN = 'unknown'


class LookupResult(enum.Enum):
    """Name the result of looking up a key in the newest configuration."""

    NOT_YET = 'not yet'
    ANSWERED = 'answered'
    FAILED = 'failed'


class KeyVerdict(enum.Enum):
    """Name the outcome of the admission check of a request."""

    ADMIT = 'admit'
    # Read the newest configuration, then decide again.
    LOOK_UP = 'look'
    # Permanent: the client must not retry with this key.
    REFUSE = 'refuse'
    # Temporary: another instance, or this one later, may know the key.
    DEFER = 'put off'


class RevocationPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure how old a configuration may be to admit requests."""

    # If false, an instance partitioned from the store keeps admitting the
    # accounts that it knows.
    is_strict: bool = False
    # Maximum seconds since the configuration was confirmed; applies if strict.
    max_age: float = 5.0


def decide(
    key_state: KeyState,
    lookup: LookupResult,
    age: float,
    policy: RevocationPolicy,
) -> KeyVerdict:
    """Return the verdict under a configuration confirmed `age` seconds ago.

    A refusal is permanent, so an instance that is partitioned or has an old
    version must not refuse a key that was just added: an unknown key is looked
    up in the newest version first, and deferred if that fails.
    """
    match key_state:
        case KeyState.HELD if policy.is_strict and age > policy.max_age:
            return KeyVerdict.DEFER
        case KeyState.HELD:
            return KeyVerdict.ADMIT
        case KeyState.REMOVED:
            return KeyVerdict.REFUSE
        case KeyState.UNKNOWN:
            return _UNKNOWN_KEY_VERDICTS[lookup]


_UNKNOWN_KEY_VERDICTS = {
    LookupResult.NOT_YET: KeyVerdict.LOOK_UP,
    LookupResult.ANSWERED: KeyVerdict.REFUSE,
    LookupResult.FAILED: KeyVerdict.DEFER,
}
