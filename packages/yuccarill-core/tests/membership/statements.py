"""Build statements about members."""

from __future__ import annotations

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.member import Member
from yuccarill.core.membership.member import MemberState


def statement(
    name: str,
    version: int = 1,
    state: MemberState = MemberState.ALIVE,
    incarnation: str = '1',
    data_centre: str = 'a',
) -> Member:
    return Member(
        id=InstanceId(name),
        data_centre=DataCentreId(data_centre),
        host='127.0.0.1',
        http_port=1,
        peer_port=2,
        incarnation=Incarnation(incarnation),
        version=version,
        state=state,
    )
