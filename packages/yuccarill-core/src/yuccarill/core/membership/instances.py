"""Instances as reported by the instance list and by peers."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId


class InstanceState(enum.Enum):
    """Whether an instance may be given new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the service and its addresses."""

    id: InstanceId
    data_centre: DataCentreId
    host: str
    http_port: int
    peer_port: int
    state: InstanceState = InstanceState.LIVE
