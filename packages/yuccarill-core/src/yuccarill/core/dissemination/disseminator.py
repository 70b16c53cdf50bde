"""Decide to whom an instance passes records on."""

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
    """Keep records and name the instances to send them to."""

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
        self._view = tree.View(me, ())

    @property
    def view(self) -> tree.View:
        """Return the trees of the members as they were last looked at."""
        if self._members is None:
            self.refresh()
        return self._view

    def refresh(self) -> None:
        """Look at the members; build the trees anew if they changed."""
        members = list(self._live())
        if members != self._members:
            self._members = members
            self._view = tree.View(self._me, members)

    def publish(self, record: Record) -> list[Instance] | None:
        """Keep a record made here; return whom to send it, None if old."""
        if not self.records.take(record):
            return None
        # The watchers of every data centre, not only the own: a store that
        # goes away right after the write tells no watcher of it.
        self.refresh()
        view = self.view
        return _distinct(view.watchers + view.children)

    def receive(self, record: Record) -> list[Instance] | None:
        """Keep a record that came; return whom to send it, None if old."""
        if not self.records.take(record):
            return None
        return self.view.children

    def exchange_order(self) -> list[Instance]:
        """Return the partners to compare versions with, best first."""
        self.refresh()
        partners = list(self.view.partners)
        self._generator.shuffle(partners)
        return partners

    def fetch_order(self) -> list[Instance]:
        """Return the peers to fetch a whole document from, best first."""
        # Watchers are the first to have it, and near ones the cheapest.
        watchers = list(self.view.near_watchers)
        self._generator.shuffle(watchers)
        partners = sorted(
            self.exchange_order(),
            key=lambda peer: peer.data_centre != self._me.data_centre,
        )
        return _distinct(watchers + partners)


def _distinct(instances: list[Instance]) -> list[Instance]:
    return list({instance.id: instance for instance in instances}.values())
