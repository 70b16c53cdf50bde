"""All members as one instance sees them."""

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
    """Merge statements about members and answer those about oneself.

    Merging keeps the highest statement of each member, so views that have
    heard the same statements are equal, in whatever order and however
    often they heard them.
    """

    def __init__(self, me: Member) -> None:
        self._me = me.id
        # One's own statement as others repeated it, not yet answered.
        self._accusation: Member | None = None
        self._gone_until_by_id: dict[InstanceId, Instant] = {}
        self.members_by_id: dict[InstanceId, Member] = {me.id: me}
        # Grows with each change; whoever copies the view compares it.
        self.changes = 1
        self.digest = _digest(me)

    @property
    def me(self) -> Member:
        """Return one's own statement."""
        return self.members_by_id[self._me]

    def live(self) -> list[Member]:
        """Return the members that may be given new work."""
        members = self.members_by_id.values()
        return [m for m in members if m.state is MemberState.ALIVE]

    def offer(self, offered: Member) -> bool:
        """Take a statement if it is news; tell whether it was."""
        if offered.id == self._me:
            return self._hear_of_me(offered)
        current = self.members_by_id.get(offered.id)
        if member_module.newer(current, offered) is current:
            return False
        self._set(offered)
        return True

    def offer_all(self, offered: Iterable[Member]) -> list[Member]:
        """Take statements and return the members that changed."""
        return [
            self.members_by_id[each.id] for each in offered if self.offer(each)
        ]

    def mark(self, member_id: InstanceId, state: MemberState) -> bool:
        """Say something of a member that it may answer; tell if news."""
        current = self.members_by_id.get(member_id)
        return current is not None and self.offer(current.changed(state))

    def leave(self) -> None:
        """Say of oneself that one leaves; never taken back."""
        self._answer(self.me, MemberState.LEAVING)

    def answer_suspicion(self) -> bool:
        """Refute a suspicion of oneself; tell whether there was one.

        To be called when a peer has reached this instance.
        """
        # An instance that sends but can't be reached would otherwise
        # refute every suspicion over its own streams: it would be taken
        # back into every answer to callers, again and again.
        if self._accusation is None:
            return False
        self._answer(self._accusation, self.me.state)
        return True

    def answer_listing(self) -> bool:
        """Answer that the list shows oneself as live; tell if it's news."""
        if self.me.state is not MemberState.LISTED_LEAVING:
            return False
        self._answer(self.me, MemberState.ALIVE)
        return True

    def sweep(self, now: Instant) -> None:
        """Drop members that have been gone for long."""
        # Dropped at once, a member would come back with the next late
        # statement that it is alive.
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
                self.changes += 1

    def _hear_of_me(self, offered: Member) -> bool:
        mine = self.me
        if offered.rank <= mine.rank:
            return False
        if offered.incarnation != mine.incarnation:
            # This process stands under an id whose former process had a
            # later version (its clock was ahead). Without a higher one
            # the others would go on believing the former's end.
            self._answer(offered, mine.state)
            return True
        match offered.state:
            case MemberState.SUSPECT:
                if self._accusation is not None:
                    offered = member_module.newer(self._accusation, offered)
                self._accusation = offered
                return False
            case MemberState.LISTED_LEAVING:
                self._set(offered)
            case MemberState.GONE if mine.state is MemberState.LEAVING:
                # The list dropped it before its last work was done.
                self._set(offered)
            case _:
                self._answer(offered, mine.state)
        return True

    def _answer(self, said: Member, state: MemberState) -> None:
        version = max(said.version, self.me.version) + 1
        self._accusation = None
        self._set(
            msgspec.structs.replace(self.me, version=version, state=state)
        )

    def _set(self, statement: Member) -> None:
        former = self.members_by_id.get(statement.id)
        if former is not None:
            self.digest ^= _digest(former)
        self.digest ^= _digest(statement)
        self.members_by_id[statement.id] = statement
        self.changes += 1


def _digest(statement: Member) -> int:
    # Tombstones run out at different times on different instances; counted
    # in, equal views would look different for minutes.
    if statement.state is MemberState.GONE:
        return 0
    key = f'{statement.id}|{statement.rank}'
    return xxhash.xxh3_64_intdigest(key.encode())
