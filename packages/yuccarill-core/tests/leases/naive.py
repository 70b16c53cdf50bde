"""Leases done naively: one a shard, on one clock that all share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccarill.core.leases import shards
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ShardNumber


@dataclasses.dataclass
class Lease:
    """Hold one shard's holder and the count of its holders."""

    start: tuple[InstanceId, int] | None = None
    epoch: int = 0


class NaiveLeases:
    """Grant each shard to the instance placed first, at once."""

    def __init__(self) -> None:
        # Negative while the instance is down.
        self._start_by_id: dict[InstanceId, int] = {}
        self.leases_by_shard: dict[ShardNumber, Lease] = {
            shard: Lease() for shard in shards.ALL_SHARDS
        }

    def start(self, instance: InstanceId) -> None:
        """Start an instance, anew if it was there."""
        start = abs(self._start_by_id.get(instance, 0)) + 1
        self._start_by_id[instance] = start
        self._grant()

    def stop(self, instance: InstanceId) -> None:
        """End an instance; it may start again under its name."""
        self._start_by_id[instance] = -abs(self._start_by_id[instance])
        self._grant()

    def _grant(self) -> None:
        live = [i for i, start in self._start_by_id.items() if start > 0]
        for shard, lease in self.leases_by_shard.items():
            order = placement.rank(shards.placement_duty(shard), live)
            if not order:
                continue
            best = (order[0], self._start_by_id[order[0]])
            if lease.start != best:
                lease.start = best
                lease.epoch += 1
