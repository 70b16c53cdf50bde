"""Tell which duties this instance may act on, and under which epoch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Epoch
from yuccarill.core.leases import shards
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.controllers.membership import MembershipController


class LeaseController:
    """Hold leases on shards of duties."""

    def __init__(
        self, blackboard: Blackboard, membership: MembershipController
    ) -> None:
        self._blackboard = blackboard
        self._membership = membership

    def epoch_for(self, duty: str) -> Epoch | None:
        """Return the epoch for an order sent right now, or none.

        Ask right before each order; the answer holds for this turn of the
        loop only.
        """
        holder = self.holder_of(duty)
        if holder is None or holder.id != self._blackboard.me.id:
            return None
        return Epoch(1)

    def holder_of(self, duty: str) -> Instance | None:
        """Return the instance that holds a duty, as far as known here."""
        live_by_id = {i.id: i for i in self._membership.live()}
        place = shards.placement_duty(shards.shard_of(duty))
        order = placement.rank(place, live_by_id)
        return live_by_id[order[0]] if order else None
