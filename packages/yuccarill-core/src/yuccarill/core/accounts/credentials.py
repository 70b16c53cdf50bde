"""Read the credential that a request bears, without keeping its key."""

from __future__ import annotations

import enum
import hashlib
import re

from yuccarill.core.ids import KeyDigest

# Bytes of a key that is looked up at most. Keys of the platform have 20; one
# of many kilobytes would only be hashed to be refused.
MAX_KEY_BYTES = 512
# Bytes of a digest. A caller that finds a second key with an account's digest
# would be that account; 32 bytes are out of reach.
_DIGEST_BYTES = 32
# The scheme's name is not case-sensitive; a key is one word of visible ASCII
# without commas, which separate credentials.
_BEARER = re.compile(r'bearer +([\x21-\x2b\x2d-\x7e]+)', re.IGNORECASE)


class CredentialFault(enum.Enum):
    """Say why a request's credential can't be looked up."""

    MISSING = 'no key came with it'
    MALFORMED = 'its credential is no bearer key'
    # Which of two is meant can't be known, and another program on the way
    # might take the other one.
    REPEATED = 'it has more than one credential'
    TOO_LONG = 'its key is too long'


def digest(key: str) -> KeyDigest:
    """Return what a key is known by; the key itself is kept nowhere."""
    hashed = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    return KeyDigest(hashed.digest())


def read(values: tuple[str, ...]) -> KeyDigest | CredentialFault:
    """Return the digest of the key in a request's credentials."""
    if not values:
        return CredentialFault.MISSING
    if len(values) > 1:
        return CredentialFault.REPEATED
    found = _BEARER.fullmatch(values[0].strip(' \t'))
    if found is None:
        return CredentialFault.MALFORMED
    if len(found[1]) > MAX_KEY_BYTES:
        return CredentialFault.TOO_LONG
    return digest(found[1])
