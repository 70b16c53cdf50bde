"""Describe usage reports to operators."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import WindowNumber


class ShownReport(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one window's report."""

    window: WindowNumber
    requests: int


class ShownUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the reports known to an instance."""

    # The reporting instance; None if unknown.
    holder: str | None
    # Whether this instance is the holder; only the holder knows the reports.
    is_here: bool
    # The first window without a recorded report.
    following: WindowNumber
    # The last window whose report was accepted.
    sent_through: WindowNumber
    reports: tuple[ShownReport, ...] = ()
