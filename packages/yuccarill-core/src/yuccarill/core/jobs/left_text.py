"""Describe texts that were begun, for the run that goes on with them."""

from __future__ import annotations

import hashlib

import msgspec

from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import Item
from yuccarill.core.jobs.job import ItemId

# Bytes that tell two bodies apart; nobody gains by making two alike, since
# both come from the same trainer.
DIGEST_BYTES = 16


class LeftText(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what was made of an item before its run ended unfinished."""

    item: ItemId
    # What was asked for. An item of the same name may ask for other things.
    body_digest: bytes
    scoring_digest: bytes
    # The events in their order, and the weights that made them.
    parts: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    is_whole: bool = False
    score: str | None = None


def body_digest(item: Item) -> bytes:
    """Return what tells an item's prompt from another one."""
    return _digest(item.body)


def scoring_digest(item: Item) -> bytes:
    """Return what tells an item's scoring call from another one."""
    return _digest(msgspec.msgpack.encode(item.score_request))


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
