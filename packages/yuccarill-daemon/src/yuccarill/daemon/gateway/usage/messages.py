"""Messages between those who count usage and the holder of its duty."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WindowNumber
from yuccarill.core.usage.counts import Counts

PATH = '/usage'


class CountMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what a process has counted in windows that are not reported."""

    instance: InstanceId
    source: Incarnation
    # What its wall clock shows.
    wall: WallTime
    counts_by_window: dict[WindowNumber, Counts]


class CountAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Tell those who count what the holder knows."""

    # The true time, as agreed.
    now: WallTime
    # Windows up to this one take no more.
    closed_through: WindowNumber
