"""Define the messages between counting instances and the reporter."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WindowNumber
from yuccarill.core.usage.counts import Counts

PATH = '/usage'


class CountMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the counts of a process for windows that are not reported."""

    instance: InstanceId
    source: Incarnation
    # Wall clock of the sender.
    wall: WallTime
    counts_by_window: dict[WindowNumber, Counts]


class CountAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the fleet's time and the last closed window."""

    # The wall time that the reporting instance derived for the fleet.
    now: WallTime
    # The last window that accepts no more counts.
    closed_through: WindowNumber
