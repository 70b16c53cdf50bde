"""Place shards and watches on the live instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.leases import shards
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.leases.table import Holder


class Placing:
    """Rank instances for every shard, anew only when they change."""

    def __init__(self, me: InstanceId) -> None:
        self.me = me
        self._live: frozenset[InstanceId] = frozenset()
        self._order_by_shard: dict[ShardNumber, list[InstanceId]] = {}
        self._my_rank_by_shard: dict[ShardNumber, int] = {}
        self._order_by_holder: dict[InstanceId, list[InstanceId]] = {}
        self.set_live(())

    def set_live(self, live: Iterable[InstanceId]) -> bool:
        """Take the live instances; tell whether they changed."""
        # An instance that the list does not show yet still serves its own
        # shards; the list lags.
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
        """Tell whether an instance is among the live ones."""
        return instance in self._live

    def order(self, shard: ShardNumber) -> list[InstanceId]:
        """Return the live instances for a shard, the best first."""
        return self._order_by_shard[shard]

    def my_rank(self, shard: ShardNumber) -> int:
        """Return this instance's place in a shard's order, from 0."""
        return self._my_rank_by_shard[shard]

    def rank_without(
        self, shard: ShardNumber, other: InstanceId | None
    ) -> int:
        """Return this instance's place as if another were gone."""
        rank = self._my_rank_by_shard[shard]
        if other is None or not self.is_better(other, shard):
            return rank
        return rank - 1

    def is_better(self, other: InstanceId, shard: ShardNumber) -> bool:
        """Tell whether another live instance is placed before this one."""
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
