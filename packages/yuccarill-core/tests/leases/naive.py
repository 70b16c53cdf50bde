"""A naive reference model of leases, with one clock for all."""

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
    """One shard's holder, and its epoch."""

    start: tuple[InstanceId, int] | None = None
    epoch: int = 0


class NaiveLeases:
    """Grant each shard at once to the live instance that ranks first."""

    def __init__(self) -> None:
        # Number of starts, negative while the instance is down.
        self._start_by_id: dict[InstanceId, int] = {}
        self.leases_by_shard: dict[ShardNumber, Lease] = {
            shard: Lease() for shard in shards.ALL_SHARDS
        }

    def start(self, instance: InstanceId) -> None:
        """Start or restart an instance."""
        start = abs(self._start_by_id.get(instance, 0)) + 1
        self._start_by_id[instance] = start
        self._grant()

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance; it may be restarted."""
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
