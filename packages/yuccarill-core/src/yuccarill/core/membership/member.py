"""Versioned statements about members."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.core.membership.instances import InstanceState

# Incarnation of a member known only from the instance list.
UNKNOWN = Incarnation('')


class MemberState(enum.IntEnum):
    """State of a member; at equal versions the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    # Leaving according to the instance list, not to the member itself.
    LISTED_LEAVING = 2
    LEAVING = 3
    # No longer in the instance list, and suspect or leaving.
    GONE = 4


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One statement about a member."""

    id: InstanceId
    data_centre: DataCentreId
    host: str
    http_port: int
    peer_port: int
    incarnation: Incarnation
    # Raised only by the member itself, to refute statements about it.
    # Starts at the wall clock, in milliseconds, of the process start.
    version: int
    state: MemberState = MemberState.ALIVE

    @property
    def rank(self) -> tuple[int, int, str]:
        """Return the sort key of statements; the highest one wins."""
        return self.version, self.state, self.incarnation

    @property
    def is_stopping(self) -> bool:
        """Return whether the member is leaving or gone."""
        return self.state in (MemberState.LEAVING, MemberState.GONE)

    def changed(self, state: MemberState) -> Member:
        """Return the same statement with another state."""
        return msgspec.structs.replace(self, state=state)

    def as_instance(self) -> Instance:
        """Return the member's addresses and whether it takes new work."""
        leaving = self.is_stopping or self.state is MemberState.LISTED_LEAVING
        return Instance(
            id=self.id,
            data_centre=self.data_centre,
            host=self.host,
            http_port=self.http_port,
            peer_port=self.peer_port,
            state=InstanceState.LEAVING if leaving else InstanceState.LIVE,
        )


def from_instance(
    instance: Instance, incarnation: Incarnation = UNKNOWN, version: int = 0
) -> Member:
    """Return the initial statement about an instance."""
    return Member(
        id=instance.id,
        data_centre=instance.data_centre,
        host=instance.host,
        http_port=instance.http_port,
        peer_port=instance.peer_port,
        incarnation=incarnation,
        version=version,
    )


def newer(current: Member | None, offered: Member) -> Member:
    """Return the statement that wins; the current one on a tie."""
    if current is None or offered.rank > current.rank:
        return offered
    return current
