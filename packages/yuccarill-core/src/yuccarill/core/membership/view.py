"""One instance's view of all members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from yuccarill.core.ids import Instant
from yuccarill.core.membership import member as member_module
from yuccarill.core.membership.member import Member
from yuccarill.core.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import InstanceId

GONE_SECONDS = 600.0


class View:
    """Merge statements about members; refute false ones about this instance.

    Merging keeps the highest statement of each member, so it is idempotent
    and independent of the order of the statements.
    """

    def __init__(self, me: Member) -> None:
        self._me = me.id
        # Suspicion of this instance that is not yet refuted.
        self._suspicion: Member | None = None
        self._gone_until_by_id: dict[InstanceId, Instant] = {}
        self.members_by_id: dict[InstanceId, Member] = {me.id: me}
        # Change counter, so that copies of the view can detect changes.
        self.change_count = 1
        self.digest = _digest(me)

    @property
    def me(self) -> Member:
        """Return this instance's own statement."""
        return self.members_by_id[self._me]

    def live(self) -> list[Member]:
        """Return the members that may be given new work."""
        members = self.members_by_id.values()
        return [m for m in members if m.state is MemberState.ALIVE]

    def merge(self, offered: Member) -> bool:
        """Merge a statement; return whether the view changed."""
        if offered.id == self._me:
            return self._merge_own(offered)
        current = self.members_by_id.get(offered.id)
        if member_module.newer(current, offered) is current:
            return False
        self._store(offered)
        return True

    def merge_all(self, offered: Iterable[Member]) -> list[Member]:
        """Merge statements; return the members that changed."""
        return [
            self.members_by_id[each.id] for each in offered if self.merge(each)
        ]

    def set_state(self, member_id: InstanceId, state: MemberState) -> bool:
        """Set a state that the member may refute; return if it changed."""
        current = self.members_by_id.get(member_id)
        return current is not None and self.merge(current.changed(state))

    def leave(self) -> None:
        """Announce that this instance leaves; irrevocable."""
        self._supersede(self.me, MemberState.LEAVING)

    def refute_suspicion(self) -> bool:
        """Refute a suspicion of this instance; return if there was one.

        Call this only when a peer has reached this instance: an unreachable
        one that refutes suspicions would be given to callers again.
        """
        if self._suspicion is None:
            return False
        self._supersede(self._suspicion, self.me.state)
        return True

    def refute_listing(self) -> bool:
        """Refute LISTED_LEAVING after a live listing; return if changed."""
        if self.me.state is not MemberState.LISTED_LEAVING:
            return False
        self._supersede(self.me, MemberState.ALIVE)
        return True

    def sweep(self, now: Instant) -> None:
        """Drop members that have been gone for GONE_SECONDS."""
        # A member dropped at once would return with a late statement that
        # it is alive.
        gone = [
            m.id
            for m in self.members_by_id.values()
            if m.state is MemberState.GONE and m.id != self._me
        ]
        until = self._gone_until_by_id
        last = Instant(now + GONE_SECONDS)
        self._gone_until_by_id = {i: until.get(i, last) for i in gone}
        for member_id, gone_until in self._gone_until_by_id.items():
            if now >= gone_until:
                del self.members_by_id[member_id]
                self.change_count += 1

    def _merge_own(self, offered: Member) -> bool:
        mine = self.me
        if offered.rank <= mine.rank:
            return False
        if offered.incarnation != mine.incarnation:
            # The previous process had a higher version, because its clock
            # was ahead; the new process must supersede that version.
            self._supersede(offered, mine.state)
            return True
        match offered.state:
            case MemberState.SUSPECT:
                if self._suspicion is not None:
                    offered = member_module.newer(self._suspicion, offered)
                self._suspicion = offered
                return False
            case MemberState.LISTED_LEAVING:
                self._store(offered)
            case MemberState.GONE if mine.state is MemberState.LEAVING:
                # The instance list drops an instance before its shutdown ends.
                self._store(offered)
            case _:
                self._supersede(offered, mine.state)
        return True

    def _supersede(self, statement: Member, state: MemberState) -> None:
        version = max(statement.version, self.me.version) + 1
        self._suspicion = None
        self._store(
            msgspec.structs.replace(self.me, version=version, state=state)
        )

    def _store(self, statement: Member) -> None:
        former = self.members_by_id.get(statement.id)
        if former is not None:
            self.digest ^= _digest(former)
        self.digest ^= _digest(statement)
        self.members_by_id[statement.id] = statement
        self.change_count += 1


def _digest(statement: Member) -> int:
    # Instances drop gone members at different times, which must not make
    # the digests of equal views differ.
    if statement.state is MemberState.GONE:
        return 0
    key = f'{statement.id}|{statement.rank}'
    return xxhash.xxh3_64_intdigest(key.encode())
