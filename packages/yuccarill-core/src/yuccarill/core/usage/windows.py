"""Divide time into the windows of usage reports."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WindowNumber


class UsagePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure usage reports; times are in seconds."""

    # Length of a window; window 0 begins at the Unix epoch.
    window: float
    # Time from the end of a window to the deadline of its report.
    due_after: float

    def window_at(self, at: WallTime) -> WindowNumber:
        """Return the window that contains a time."""
        return WindowNumber(math.floor(at / self.window))

    def end(self, window: WindowNumber) -> WallTime:
        """Return the end of a window."""
        return WallTime((window + 1) * self.window)

    def due(self, window: WindowNumber) -> WallTime:
        """Return the deadline of a window's report."""
        return WallTime(self.end(window) + self.due_after)
