"""Choose the few members that an instance probes and tells news."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from yuccarill.core.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.member import Member

PROBED = 4
# Members looked at in place of one that is not alive.
MAX_STEPS = 4


def order(members: Mapping[InstanceId, Member]) -> list[InstanceId]:
    """Put the members that may still run on a ring, mixed by hash."""
    # A leaving one still answers callers and has to hear the news.
    running = [m for m in members.values() if m.state is not MemberState.GONE]
    return sorted((m.id for m in running), key=_place)


def offsets(size: int, count: int = PROBED) -> list[int]:
    """Return how far along the ring each probed member stands.

    Powers of one base: each member is probed by as many as it probes, and
    news passed along these edges reaches everybody in few hops.
    """
    if size - 1 <= count:
        return list(range(1, size))
    base = size ** (1 / count)
    found: list[int] = []
    for power in range(count):
        least = found[-1] + 1 if found else 1
        found.append(max(least, round(base**power)))
    return found


def neighbours(
    me: InstanceId,
    ring: Sequence[InstanceId],
    members: Mapping[InstanceId, Member],
) -> list[InstanceId]:
    """Return whom an instance probes, suspects among them."""
    if me not in ring:
        # The list may drop a leaving instance before its end.
        ring = sorted([*ring, me], key=_place)
    place = ring.index(me)
    found: dict[InstanceId, None] = {}
    for offset in offsets(len(ring)):
        for step in range(MAX_STEPS + 1):
            other = ring[(place + offset + step) % len(ring)]
            if other == me:
                continue
            # The first one is probed whatever is said of it: nobody else
            # would find out that a suspect is back.
            if step == 0:
                found[other] = None
            if members[other].state is MemberState.ALIVE:
                found[other] = None
                break
    return list(found)


def _place(member_id: InstanceId) -> tuple[int, InstanceId]:
    return xxhash.xxh3_64_intdigest(member_id.encode()), member_id
