"""Decide which shards to claim or request from their holders, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.leases import shards
from yuccarill.core.leases import table as table_module

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import SessionId
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.leases.policy import LeasePolicy
    from yuccarill.core.leases.shard_placement import ShardPlacement
    from yuccarill.core.leases.table import ShardEntry
    from yuccarill.core.leases.table import ShardTable


class ClaimScheduler:
    """Delay claims on free shards and requests for shards held elsewhere."""

    def __init__(self, policy: LeasePolicy, placement: ShardPlacement) -> None:
        self._policy = policy
        self._placement = placement
        self._table = table_module.EMPTY
        self._ended: set[SessionId] = set()
        self._free_since_by_shard: dict[ShardNumber, Instant] = {}
        self._request_at_by_shard: dict[ShardNumber, Instant] = {}

    def update(
        self,
        table: ShardTable,
        ended: set[SessionId],
        now: Instant,
    ) -> None:
        """Set the table and ended sessions; reschedule claims and requests."""
        self._table = table
        self._ended = ended
        for shard, entry in zip(shards.ALL_SHARDS, table.entries, strict=True):
            if self._is_free(entry):
                self._free_since_by_shard.setdefault(shard, now)
                self._request_at_by_shard.pop(shard, None)
                continue
            self._free_since_by_shard.pop(shard, None)
            self._schedule_request(shard, entry, now)

    def shards_to_claim(self, now: Instant) -> list[ShardNumber]:
        """Return the free shards to claim now."""
        # The first-ranked instance may be unable to reach the store, so
        # lower ranks claim its shards after a delay per rank.
        return [
            shard
            for shard, since in self._free_since_by_shard.items()
            if now >= since + self._rank(shard) * self._policy.patience
        ]

    def shards_of_ended_sessions(self) -> list[ShardNumber]:
        """Return the shards whose holder's session has ended."""
        return [
            shard
            for shard in self._free_since_by_shard
            if self._entry(shard).holder is not None
        ]

    def has_due_work(self, now: Instant) -> bool:
        """Return whether a claim or request, which need a session, is due."""
        has_due_request = any(
            at <= now for at in self._request_at_by_shard.values()
        )
        return has_due_request or bool(self.shards_to_claim(now))

    def next_requests(
        self, now: Instant
    ) -> dict[InstanceId, list[ShardNumber]]:
        """Return the shards to request now by holder, and reschedule them."""
        shards_by_holder: dict[InstanceId, list[ShardNumber]] = {}
        for shard, request_at in self._request_at_by_shard.items():
            holder = self._entry(shard).holder
            if now < request_at or holder is None:
                continue
            shards_by_holder.setdefault(holder.instance, []).append(shard)
            self._request_at_by_shard[shard] = Instant(
                now + self._policy.settle_time
            )
        return shards_by_holder

    def _rank(self, shard: ShardNumber) -> int:
        # A former holder may stay in the instance list for long, so its
        # rank adds no delay for the instances ranked after it.
        entry = self._entry(shard)
        former = entry.holder.instance if entry.holder else entry.previous
        return self._placement.rank_without(shard, former)

    def _schedule_request(
        self,
        shard: ShardNumber,
        entry: ShardEntry,
        now: Instant,
    ) -> None:
        holder = entry.holder
        is_own = holder is not None and holder.instance == self._placement.me
        # An instance requests a shard only after ranking first for
        # settle_time, so that a flapping instance moves no shards.
        if is_own or self._placement.my_rank(shard) > 0:
            self._request_at_by_shard.pop(shard, None)
        else:
            request_at = Instant(now + self._policy.settle_time)
            self._request_at_by_shard.setdefault(shard, request_at)

    def _is_free(self, entry: ShardEntry) -> bool:
        return entry.holder is None or entry.holder.session in self._ended

    def _entry(self, shard: ShardNumber) -> ShardEntry:
        return self._table.entries[shard]
