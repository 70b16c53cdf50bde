"""Define the operator's options for one gateway process."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.jobs.placement import Placement


class TargetOrderMode(enum.Enum):
    """Select which targets are ordered for services that allow it."""

    OFF = 'off'
    REGULAR = 'regular'
    # Revocable targets in addition to regular ones.
    MIXED = 'mixed'


class CapacityMode(enum.Enum):
    """Select whether instances share the capacity of a service."""

    LOCAL = 'local'
    SHARED = 'shared'


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the options of one process."""

    target_orders: TargetOrderMode = TargetOrderMode.OFF
    capacity: CapacityMode = CapacityMode.LOCAL
    placement: Placement = Placement.LOAD
