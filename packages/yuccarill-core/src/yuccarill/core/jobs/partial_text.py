"""Describe partial texts, from which a later run resumes."""

from __future__ import annotations

import hashlib

import msgspec

from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import Item
from yuccarill.core.jobs.job import ItemId

# Bytes of a digest; forged collisions are no threat within one trainer.
DIGEST_BYTES = 16


class PartialText(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the partial text of an item and its score."""

    item: ItemId
    # Digests of the request: a later item may reuse the id for another one.
    body_digest: bytes
    scoring_digest: bytes
    # The events in order, and the weight versions that generated them.
    parts: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    is_whole: bool = False
    score: str | None = None


def body_digest(item: Item) -> bytes:
    """Return the digest of an item's request body."""
    return _digest(item.body)


def scoring_digest(item: Item) -> bytes:
    """Return the digest of an item's scoring request."""
    return _digest(msgspec.msgpack.encode(item.score_request))


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
