"""Divide true time into windows that usage is reported for."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WindowNumber


class UsagePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Say how usage is to be reported, in seconds."""

    # Length of a window; window 0 begins with the year 1970.
    window: float
    # A report is due this long after its window's end.
    due_after: float

    def window_at(self, at: WallTime) -> WindowNumber:
        """Return the window that a moment lies in."""
        return WindowNumber(math.floor(at / self.window))

    def end(self, window: WindowNumber) -> WallTime:
        """Return when a window ends."""
        return WallTime((window + 1) * self.window)

    def due(self, window: WindowNumber) -> WallTime:
        """Return when a window has to be reported."""
        return WallTime(self.end(window) + self.due_after)
