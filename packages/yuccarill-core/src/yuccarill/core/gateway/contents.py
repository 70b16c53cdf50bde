"""Identify repeats of a request by a digest of its content."""

from __future__ import annotations

import hashlib

from yuccarill.core.ids import ContentDigest

# Bytes; long enough that a caller cannot find a collision and so get another
# caller's requests refused.
DIGEST_BYTES = 16
# Bytes of the length prefix of each part.
_LENGTH_BYTES = 8


def digest(host: str, target: str, caller: str, body: bytes) -> ContentDigest:
    """Return the same digest for each repeat of a request.

    The target is path and query; the caller identifies the client account
    and is empty for anonymous requests.
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host.lower(), target, caller):
        data = part.encode()
        # Without length prefixes, requests whose parts are split at different
        # bytes would have the same digest.
        hashed.update(len(data).to_bytes(_LENGTH_BYTES))
        hashed.update(data)
    hashed.update(body)
    return ContentDigest(hashed.hexdigest())
