"""Decide to which instances an instance sends records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.dissemination import record as record_module
from yuccarill.core.dissemination import tree

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from yuccarill.core.dissemination.record import Record
    from yuccarill.core.membership.instances import Instance


class Disseminator:
    """Store records and choose the instances to send them to."""

    def __init__(
        self,
        me: Instance,
        live: Callable[[], Sequence[Instance]],
        generator: random.Random,
    ) -> None:
        self.records = record_module.RecordTable()
        self._me = me
        self._live = live
        self._generator = generator
        self._members: list[Instance] | None = None
        self._position = tree.TreePosition(me, ())

    @property
    def position(self) -> tree.TreePosition:
        """Return this instance's position in the trees of known members."""
        if self._members is None:
            self.refresh()
        return self._position

    def refresh(self) -> None:
        """Rebuild the trees if the members changed."""
        members = list(self._live())
        if members != self._members:
            self._members = members
            self._position = tree.TreePosition(self._me, members)

    def publish(self, record: Record) -> list[Instance] | None:
        """Store a new record; return its receivers, None if stale."""
        if not self.records.store(record):
            return None
        # The receivers include the watchers of all data centres, since the
        # store may fail after the write and notify none of them.
        self.refresh()
        position = self.position
        return _distinct(position.watchers + position.children)

    def receive(self, record: Record) -> list[Instance] | None:
        """Store a received record; return its receivers, None if stale."""
        if not self.records.store(record):
            return None
        return self.position.children

    def exchange_order(self) -> list[Instance]:
        """Return the partners to compare versions with, in random order."""
        self.refresh()
        partners = list(self.position.partners)
        self._generator.shuffle(partners)
        return partners

    def fetch_order(self) -> list[Instance]:
        """Return the peers to fetch a whole document from, best first."""
        # Watchers receive a document first; near peers are cheapest to ask.
        watchers = list(self.position.near_watchers)
        self._generator.shuffle(watchers)
        partners = sorted(
            self.exchange_order(),
            key=lambda peer: peer.data_centre != self._me.data_centre,
        )
        return _distinct(watchers + partners)


def _distinct(instances: list[Instance]) -> list[Instance]:
    return list({instance.id: instance for instance in instances}.values())
