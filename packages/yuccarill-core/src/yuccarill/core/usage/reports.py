"""Describe reports of usage to operators."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import WindowNumber


class ShownReport(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one window's report."""

    window: WindowNumber
    requests: int


class ShownUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what an instance knows of the reports."""

    # The instance that reports, none if it is not known.
    holder: str | None
    # This instance is the holder, and knows the reports.
    is_here: bool
    # The first window that no report is recorded for.
    following: WindowNumber
    # Reports up to this window were accepted.
    sent_through: WindowNumber
    reports: tuple[ShownReport, ...] = ()
