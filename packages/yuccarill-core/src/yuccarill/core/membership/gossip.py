"""Gossip of member statements to ring neighbours until confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.member import Member

# Bounds the size of one message.
MAX_STATEMENTS = 32


class StatementGossip:
    """Track the statements that each neighbour has yet to confirm."""

    def __init__(self) -> None:
        self._pending_by_id: dict[InstanceId, dict[InstanceId, Member]] = {}

    def set_neighbours(self, neighbours: Iterable[InstanceId]) -> None:
        """Replace the neighbours; keep the queues of those that remain."""
        previous = self._pending_by_id
        self._pending_by_id = {n: previous.get(n, {}) for n in neighbours}

    def add(
        self, statements: Iterable[Member], source: InstanceId | None
    ) -> None:
        """Queue statements for every neighbour except their source."""
        for statement in statements:
            for neighbour, pending in self._pending_by_id.items():
                if neighbour != source:
                    pending[statement.id] = statement

    def batch(self, neighbour: InstanceId) -> tuple[Member, ...]:
        """Return the next statements to send to a neighbour."""
        pending = self._pending_by_id.get(neighbour, {})
        return tuple(pending.values())[:MAX_STATEMENTS]

    def confirm(self, neighbour: InstanceId, sent: Iterable[Member]) -> None:
        """Drop the statements that a neighbour has received."""
        pending = self._pending_by_id.get(neighbour, {})
        for statement in sent:
            # A newer statement may have replaced the one that was sent.
            if pending.get(statement.id) == statement:
                del pending[statement.id]

    def pending(self) -> Mapping[InstanceId, Mapping[InstanceId, Member]]:
        """Return the unconfirmed statements by neighbour."""
        return self._pending_by_id
