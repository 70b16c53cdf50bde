"""Decide which instances read the instance list, when, and merge it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.membership.instances import InstanceState
from yuccarill.core.membership import member as member_module
from yuccarill.core.membership.member import MemberState
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.instances import Instance
    from yuccarill.core.membership.member import Member
    from yuccarill.core.membership.view import View

READERS_PER_DATA_CENTRE = 2
READER_INTERVAL_SECONDS = 2.0
NON_READER_INTERVAL_SECONDS = 600.0
SINGLE_MEMBER_INTERVAL_SECONDS = 1.0
# Consecutive reads that lack a member before the member counts as gone.
MISSED_READS = 2


def is_reader(view: View) -> bool:
    """Return whether this instance reads the list for its data centre."""
    me = view.me
    near = [m.id for m in view.live() if m.data_centre == me.data_centre]
    ranked = placement.rank(f'list/{me.data_centre}', near)
    return me.id in ranked[:READERS_PER_DATA_CENTRE]


def next_read_at(
    view: View, now: Instant, generator: random.Random
) -> Instant:
    """Return when to read the list again, with jitter."""
    if len(view.members_by_id) == 1:
        interval = SINGLE_MEMBER_INTERVAL_SECONDS
    elif is_reader(view) or view.me.state is MemberState.LISTED_LEAVING:
        interval = READER_INTERVAL_SECONDS
    else:
        interval = NON_READER_INTERVAL_SECONDS
    return Instant(now + interval * generator.uniform(0.5, 1.5))


class ListMerger:
    """Merge reads of the instance list into the view."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._state_by_id: dict[InstanceId, InstanceState] = {}
        self._missed_by_id: dict[InstanceId, int] = {}
        # Members in state GONE that the last read lists as live.
        self.relisted: list[Member] = []

    def merge(self, instances: Iterable[Instance]) -> list[Member]:
        """Merge one read of the list and return the members it changed."""
        listed_by_id = {instance.id: instance for instance in instances}
        changed = [
            member_id
            for member_id, instance in listed_by_id.items()
            if self._merge_entry(instance)
        ]
        changed += self._mark_missing_gone(listed_by_id)
        self._state_by_id = {i.id: i.state for i in listed_by_id.values()}
        # The two sides of a network partition may each count the other as
        # gone, and would never probe each other again.
        self.relisted = [
            self._view.members_by_id[i.id]
            for i in listed_by_id.values()
            if i.state is InstanceState.LIVE
            and self._view.members_by_id[i.id].state is MemberState.GONE
        ]
        return [self._view.members_by_id[i] for i in changed]

    def _merge_entry(self, instance: Instance) -> bool:
        view = self._view
        has_changed = view.merge(member_module.from_instance(instance))
        previous = self._state_by_id.get(instance.id)
        is_leaving = instance.state is InstanceState.LEAVING
        if instance.id == view.me.id and not is_leaving:
            return view.refute_listing()
        # A first read that lists this instance as leaving refers to its
        # previous process.
        if instance.id == view.me.id and previous is None:
            return False
        # Only the change to leaving counts: a stale list still shows the
        # previous process as leaving after a restart, and would exclude the
        # new process on every read.
        if is_leaving and previous is not InstanceState.LEAVING:
            has_changed |= view.set_state(
                instance.id, MemberState.LISTED_LEAVING
            )
        return has_changed

    def _mark_missing_gone(
        self, listed_by_id: dict[InstanceId, Instance]
    ) -> list[InstanceId]:
        view = self._view
        # A list without this instance is stale or partial, so the other
        # members that it lacks may be running.
        if view.me.id not in listed_by_id:
            return []
        missing = [i for i in view.members_by_id if i not in listed_by_id]
        missed = self._missed_by_id
        self._missed_by_id = {i: missed.get(i, 0) + 1 for i in missing}
        return [
            member_id
            for member_id, reads in self._missed_by_id.items()
            if reads >= MISSED_READS
            # A member that answers probes is running; the list is stale.
            and view.members_by_id[member_id].state is not MemberState.ALIVE
            and view.set_state(member_id, MemberState.GONE)
        ]
