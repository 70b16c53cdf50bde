"""Instances as the instance list and peers show them."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId


class InstanceState(enum.Enum):
    """Say whether an instance may be given new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one instance of the system."""

    id: InstanceId
    data_centre: DataCentreId
    host: str
    http_port: int
    peer_port: int
    state: InstanceState = InstanceState.LIVE
