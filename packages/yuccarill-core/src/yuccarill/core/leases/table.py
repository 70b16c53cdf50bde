"""The table of all shards, stored under one key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import SessionId
from yuccarill.core.leases import shards

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from yuccarill.core.ids import ShardNumber

TABLE_KEY = 'leases/shards'


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """The session that holds a shard."""

    instance: InstanceId
    session: SessionId


class ShardEntry(msgspec.Struct, frozen=True, array_like=True):
    """A shard's epoch and its holder, None if the shard is free."""

    epoch: Epoch = Epoch(0)
    holder: Holder | None = None
    # Last holder of a free shard.
    previous: InstanceId | None = None

    def moved_to(self, holder: Holder | None) -> ShardEntry:
        """Return the entry with another holder."""
        # The epoch is a fencing token: it grows with each new holder, and
        # engines reject orders with a lower epoch than the highest seen.
        if holder is None:
            previous = self.holder.instance if self.holder else self.previous
            return ShardEntry(self.epoch, None, previous)
        return ShardEntry(Epoch(self.epoch + 1), holder)


class ShardTable(msgspec.Struct, frozen=True):
    """The entries of all shards, by shard number."""

    entries: tuple[ShardEntry, ...]

    def moved(
        self, holders_by_shard: Mapping[ShardNumber, Holder | None]
    ) -> ShardTable:
        """Return the table with new holders for some shards."""
        entries = list(self.entries)
        for shard, holder in holders_by_shard.items():
            entries[shard] = entries[shard].moved_to(holder)
        return ShardTable(tuple(entries))

    def holders(self) -> set[Holder]:
        return {e.holder for e in self.entries if e.holder is not None}

    def held_by(self, session: SessionId | None) -> Iterator[ShardNumber]:
        """Return the shards that a session holds."""
        for shard, entry in zip(shards.ALL_SHARDS, self.entries, strict=True):
            if entry.holder is not None and entry.holder.session == session:
                yield shard


EMPTY = ShardTable((ShardEntry(),) * shards.SHARD_COUNT)

_DECODER = msgspec.json.Decoder(ShardTable)


def encode(table: ShardTable) -> bytes:
    """Encode a table for the key-value store."""
    return msgspec.json.encode(table)


def decode(version: int, data: bytes) -> ShardTable:
    """Decode a table; return an empty one if the key is absent."""
    return _DECODER.decode(data) if version else EMPTY
