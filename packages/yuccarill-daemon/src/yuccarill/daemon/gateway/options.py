"""What an operator switches on and off."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.jobs.placement import Placement


class TargetOrderMode(enum.Enum):
    """Say which targets are ordered for services that allow it."""

    OFF = 'off'
    REGULAR = 'regular'
    # Revocable ones beside those that carry the work.
    MIXED = 'mixed'


class CapacityMode(enum.Enum):
    """Say whether instances share what a service can serve."""

    LOCAL = 'local'
    SHARED = 'shared'


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the switches of one process."""

    target_orders: TargetOrderMode = TargetOrderMode.OFF
    capacity: CapacityMode = CapacityMode.LOCAL
    placement: Placement = Placement.LOAD
