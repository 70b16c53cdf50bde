"""Pass news on along the edges of the ring until each is confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.member import Member

# Bounds one message to some kilobytes.
MAX_RECORDS = 32


class Spreading:
    """Remember which neighbour has yet to confirm which news."""

    def __init__(self) -> None:
        self._pending_by_id: dict[InstanceId, dict[InstanceId, Member]] = {}

    def set_neighbours(self, neighbours: Iterable[InstanceId]) -> None:
        """Follow a change of the ring, keeping what is pending."""
        former = self._pending_by_id
        self._pending_by_id = {n: former.get(n, {}) for n in neighbours}

    def add(self, news: Iterable[Member], source: InstanceId | None) -> None:
        """Note news for every neighbour but the one that told it."""
        for each in news:
            for neighbour, pending in self._pending_by_id.items():
                if neighbour != source:
                    pending[each.id] = each

    def batch(self, neighbour: InstanceId) -> tuple[Member, ...]:
        """Return what to tell a neighbour next."""
        pending = self._pending_by_id.get(neighbour, {})
        return tuple(pending.values())[:MAX_RECORDS]

    def confirm(self, neighbour: InstanceId, told: Iterable[Member]) -> None:
        """Note that a neighbour has received a batch."""
        pending = self._pending_by_id.get(neighbour, {})
        for each in told:
            # A newer statement may have replaced the told one meanwhile.
            if pending.get(each.id) == each:
                del pending[each.id]

    def pending(self) -> Mapping[InstanceId, Mapping[InstanceId, Member]]:
        """Return the unconfirmed news by neighbour."""
        return self._pending_by_id
