"""The trees that disseminate records, two per data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.instances import Instance

FAN_OUT = 8
# Exchange partners: in the own data centre, and in all others.
NEAR_PARTNERS = 4
FAR_PARTNERS = 4


class TreePosition:
    """One instance's position in the trees of a set of members."""

    def __init__(
        self,
        me: Instance,
        members: Iterable[Instance],
        fan_out: int = FAN_OUT,
    ) -> None:
        self._me = me
        self._fan_out = fan_out
        self._members_by_id = {member.id: member for member in members}
        self._members_by_id[me.id] = me
        self._order_by_data_centre = self._ordered()
        self.children = self._instances(self._children())
        self.watchers = self._instances(self._watchers())
        self.partners = self._instances(self._partners())
        self.near_watchers = [
            watcher
            for watcher in self.watchers
            if watcher.data_centre == me.data_centre
        ]
        self.is_watcher = me.id in self._watchers()

    def _ordered(self) -> dict[DataCentreId, list[InstanceId]]:
        ids_by_data_centre: dict[DataCentreId, list[InstanceId]] = {}
        for member in self._members_by_id.values():
            ids_by_data_centre.setdefault(member.data_centre, []).append(
                member.id
            )
        return {
            data_centre: placement.rank(f'tree/{data_centre}', ids)
            for data_centre, ids in ids_by_data_centre.items()
        }

    def _children(self) -> list[InstanceId]:
        order = self._order_by_data_centre[self._me.data_centre]
        # A failed inner node cuts off its whole subtree. The second tree
        # uses the reverse order, so an inner node of one tree is a leaf of
        # the other and a single failure cuts off no instance.
        first = self._children_in(order)
        second = self._children_in(order[::-1])
        return list(dict.fromkeys(first + second))

    def _children_in(self, order: Sequence[InstanceId]) -> list[InstanceId]:
        start = order.index(self._me.id) * self._fan_out + 1
        return list(order[start : start + self._fan_out])

    def _watchers(self) -> list[InstanceId]:
        return [
            watcher
            for order in self._order_by_data_centre.values()
            for watcher in dict.fromkeys((order[0], order[-1]))
        ]

    def _partners(self) -> list[InstanceId]:
        # Few partners bound the open streams of an instance; choosing them
        # by hash connects all instances in a random graph.
        near = self._order_by_data_centre[self._me.data_centre]
        far = [
            member.id
            for member in self._members_by_id.values()
            if member.data_centre != self._me.data_centre
        ]
        duty = f'exchange/{self._me.id}'
        others = [i for i in near if i != self._me.id]
        return [
            *placement.rank(duty, others)[:NEAR_PARTNERS],
            *placement.rank(duty, far)[:FAR_PARTNERS],
        ]

    def _instances(self, ids: Iterable[InstanceId]) -> list[Instance]:
        return [self._members_by_id[i] for i in ids if i != self._me.id]
