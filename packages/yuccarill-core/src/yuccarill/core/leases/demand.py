"""Decide which shards to take and which to ask for, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.leases import shards
from yuccarill.core.leases import table as table_module

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import SessionId
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.leases.placing import Placing
    from yuccarill.core.leases.policy import LeasePolicy
    from yuccarill.core.leases.table import ShardEntry
    from yuccarill.core.leases.table import ShardTable


class Demand:
    """Time how long shards are free, or placed here but held elsewhere."""

    def __init__(self, policy: LeasePolicy, placing: Placing) -> None:
        self._policy = policy
        self._placing = placing
        self._table = table_module.EMPTY
        self._ended: set[SessionId] = set()
        self._free_since_by_shard: dict[ShardNumber, Instant] = {}
        self._ask_at_by_shard: dict[ShardNumber, Instant] = {}

    def update(
        self,
        table: ShardTable,
        ended: set[SessionId],
        now: Instant,
    ) -> None:
        """Take what is known of shards and of sessions that ended."""
        self._table = table
        self._ended = ended
        for shard, entry in zip(shards.ALL_SHARDS, table.entries, strict=True):
            if self._is_free(entry):
                self._free_since_by_shard.setdefault(shard, now)
                self._ask_at_by_shard.pop(shard, None)
                continue
            self._free_since_by_shard.pop(shard, None)
            self._update_ask(shard, entry, now)

    def due_takes(self, now: Instant) -> list[ShardNumber]:
        """Return the free shards to take now."""
        # The first in order may be unable to reach the store; without the
        # others' turns its shards would be worked on by nobody.
        return [
            shard
            for shard, since in self._free_since_by_shard.items()
            if now >= since + self._rank(shard) * self._policy.patience
        ]

    def ended_shards(self) -> list[ShardNumber]:
        """Return the shards whose session has ended."""
        return [
            shard
            for shard in self._free_since_by_shard
            if self._entry(shard).holder is not None
        ]

    def is_due(self, now: Instant) -> bool:
        """Tell whether a session is needed, to take or to ask."""
        is_asking = any(at <= now for at in self._ask_at_by_shard.values())
        return is_asking or bool(self.due_takes(now))

    def take_asks(self, now: Instant) -> dict[InstanceId, list[ShardNumber]]:
        """Return the shards to ask for now, by holder."""
        shards_by_holder: dict[InstanceId, list[ShardNumber]] = {}
        for shard, ask_at in self._ask_at_by_shard.items():
            holder = self._entry(shard).holder
            if now < ask_at or holder is None:
                continue
            shards_by_holder.setdefault(holder.instance, []).append(shard)
            self._ask_at_by_shard[shard] = Instant(
                now + self._policy.settle_time
            )
        return shards_by_holder

    def _rank(self, shard: ShardNumber) -> int:
        # Whoever lost a shard may stay in the instance list for long; the
        # next in order does not wait for it.
        entry = self._entry(shard)
        gone = entry.holder.instance if entry.holder else entry.previous
        return self._placing.rank_without(shard, gone)

    def _update_ask(
        self,
        shard: ShardNumber,
        entry: ShardEntry,
        now: Instant,
    ) -> None:
        holder = entry.holder
        is_own = holder is not None and holder.instance == self._placing.me
        # An instance that comes and goes would drag shards along; it asks
        # only after having been the best placed for some time.
        if is_own or self._placing.my_rank(shard) > 0:
            self._ask_at_by_shard.pop(shard, None)
        else:
            ask_at = Instant(now + self._policy.settle_time)
            self._ask_at_by_shard.setdefault(shard, ask_at)

    def _is_free(self, entry: ShardEntry) -> bool:
        return entry.holder is None or entry.holder.session in self._ended

    def _entry(self, shard: ShardNumber) -> ShardEntry:
        return self._table.entries[shard]
