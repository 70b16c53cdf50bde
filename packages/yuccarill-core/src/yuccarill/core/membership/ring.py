"""Choose the few members that an instance probes and gossips with."""

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
# Further members tried in place of one that is not alive.
MAX_STEPS = 4


def order(members: Mapping[InstanceId, Member]) -> list[InstanceId]:
    """Return the members that may be running, ordered by hash."""
    # A leaving member still serves callers and needs membership updates.
    running = [m for m in members.values() if m.state is not MemberState.GONE]
    return sorted((m.id for m in running), key=_ring_key)


def offsets(size: int, count: int = PROBED) -> list[int]:
    """Return the offset along the ring of each probed member.

    All members use the same offsets, so each is probed by as many as it
    probes. Exponential growth lets updates reach all in few hops.
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
    """Return the members that an instance probes, including suspects."""
    if me not in ring:
        # The instance list may drop a leaving instance before it stops.
        ring = sorted([*ring, me], key=_ring_key)
    position = ring.index(me)
    found: dict[InstanceId, None] = {}
    for offset in offsets(len(ring)):
        for step in range(MAX_STEPS + 1):
            other = ring[(position + offset + step) % len(ring)]
            if other == me:
                continue
            # The member at the offset itself is probed in any state, so
            # that the recovery of a suspect is detected.
            if step == 0:
                found[other] = None
            if members[other].state is MemberState.ALIVE:
                found[other] = None
                break
    return list(found)


def _ring_key(member_id: InstanceId) -> tuple[int, InstanceId]:
    return xxhash.xxh3_64_intdigest(member_id.encode()), member_id
