"""What one instance knows and says of another."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.core.membership.instances import InstanceState

# Of a member that only the instance list has shown so far.
UNKNOWN = Incarnation('')


class MemberState(enum.IntEnum):
    """Order what is said of a member; at one version the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    # The instance list shows it as leaving, the member has not said so.
    LISTED_LEAVING = 2
    LEAVING = 3
    # The list shows it no more, and it is suspect or leaving.
    GONE = 4


class Member(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Hold one statement about a member."""

    id: InstanceId
    data_centre: DataCentreId
    host: str
    http_port: int
    peer_port: int
    incarnation: Incarnation
    # Raised by the member alone, to answer what others say of it. Its
    # first one is the wall clock's milliseconds at its start.
    version: int
    state: MemberState = MemberState.ALIVE

    @property
    def rank(self) -> tuple[int, int, str]:
        """Order statements; the highest of all stands."""
        return self.version, self.state, self.incarnation

    @property
    def is_stopping(self) -> bool:
        """Tell whether the member ends or has ended."""
        return self.state in (MemberState.LEAVING, MemberState.GONE)

    def changed(self, state: MemberState) -> Member:
        """Return the same statement with another state."""
        return msgspec.structs.replace(self, state=state)

    def as_instance(self) -> Instance:
        """Return how others may reach the member."""
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
    """Return the first statement about an instance."""
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
    """Return the statement that stands."""
    if current is None or offered.rank > current.rank:
        return offered
    return current
