"""Rank the live instances for holding shards and watching sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.leases import shards
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.leases.table import Holder


class ShardPlacement:
    """Cache the ranking of instances for every shard."""

    def __init__(self, me: InstanceId) -> None:
        self.me = me
        self._live: frozenset[InstanceId] = frozenset()
        self._order_by_shard: dict[ShardNumber, list[InstanceId]] = {}
        self._my_rank_by_shard: dict[ShardNumber, int] = {}
        self._order_by_holder: dict[InstanceId, list[InstanceId]] = {}
        self.set_live(())

    def set_live(self, live: Iterable[InstanceId]) -> bool:
        """Set the live instances; return whether they changed."""
        # The instance list lags, so this instance is always included.
        found = frozenset(live) | {self.me}
        if found == self._live:
            return False
        self._live = found
        self._order_by_holder.clear()
        self._order_by_shard = {
            shard: placement.rank(shards.placement_duty(shard), found)
            for shard in shards.ALL_SHARDS
        }
        self._my_rank_by_shard = {
            shard: order.index(self.me)
            for shard, order in self._order_by_shard.items()
        }
        return True

    def is_live(self, instance: InstanceId) -> bool:
        """Return whether an instance is live."""
        return instance in self._live

    def order(self, shard: ShardNumber) -> list[InstanceId]:
        """Return the live instances for a shard, the highest-ranked first."""
        return self._order_by_shard[shard]

    def my_rank(self, shard: ShardNumber) -> int:
        """Return this instance's rank for a shard, from 0."""
        return self._my_rank_by_shard[shard]

    def rank_without(
        self, shard: ShardNumber, other: InstanceId | None
    ) -> int:
        """Return this instance's rank with another instance left out."""
        rank = self._my_rank_by_shard[shard]
        if other is None or not self.ranks_before(other, shard):
            return rank
        return rank - 1

    def ranks_before(self, other: InstanceId, shard: ShardNumber) -> bool:
        """Return whether another live instance ranks before this one."""
        if other not in self._live:
            return False
        order = self._order_by_shard[shard]
        return order.index(other) < self._my_rank_by_shard[shard]

    def watchers(self, holder: Holder, count: int) -> list[InstanceId]:
        """Return the instances that watch a holder's session."""
        order = self._order_by_holder.get(holder.instance)
        if order is None:
            others = self._live - {holder.instance}
            order = placement.rank(f'watch/{holder.instance}', others)
            self._order_by_holder[holder.instance] = order
        return order[:count]
