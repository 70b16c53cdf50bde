"""Parse the bearer credential of a request into a digest of its key."""

from __future__ import annotations

import enum
import hashlib
import re

from yuccarill.core.ids import KeyDigest

# Longer input is refused without hashing; keys of the platform have 20 bytes.
MAX_KEY_BYTES = 512
# Long enough to resist a search for another key with the same digest.
_DIGEST_BYTES = 32
# The scheme is case-insensitive; a key is one word of visible ASCII without
# commas, which separate credentials.
_BEARER = re.compile(r'bearer +([\x21-\x2b\x2d-\x7e]+)', re.IGNORECASE)


class CredentialFault(enum.Enum):
    """Name the reason why a request has no usable credential."""

    MISSING = 'no key came with it'
    MALFORMED = 'its credential is no bearer key'
    # Ambiguous: a proxy may use a different one than this process.
    REPEATED = 'it has more than one credential'
    TOO_LONG = 'its key is too long'


def digest(key: str) -> KeyDigest:
    """Return the digest of a key; the key itself is not stored."""
    hashed = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    return KeyDigest(hashed.digest())


def read(values: tuple[str, ...]) -> KeyDigest | CredentialFault:
    """Return the digest of the only key, or the fault of the credentials."""
    if not values:
        return CredentialFault.MISSING
    if len(values) > 1:
        return CredentialFault.REPEATED
    match = _BEARER.fullmatch(values[0].strip(' \t'))
    if match is None:
        return CredentialFault.MALFORMED
    if len(match[1]) > MAX_KEY_BYTES:
        return CredentialFault.TOO_LONG
    return digest(match[1])
