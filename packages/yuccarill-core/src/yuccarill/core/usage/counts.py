"""Add up how often requests of each account began, by window."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import WindowNumber

if TYPE_CHECKING:
    from collections.abc import Mapping

Counts = dict[AccountName, int]
CountsByWindow = dict[WindowNumber, Counts]

# Windows that are kept though nobody closes them: at 5 s each, eight minutes
# without any holder of the duty. Older ones are lost, and said so.
MAX_WINDOWS = 100


class OwnCounts:
    """Hold what this process has counted and is not reported yet."""

    def __init__(self) -> None:
        self.counts_by_window: CountsByWindow = {}
        # Windows up to this one are reported, and take no more.
        self.closed_through: WindowNumber | None = None
        # Grows with each change.
        self.changes = 0

    def add(self, window: WindowNumber, account: AccountName) -> bool:
        """Count a request; tell whether its window still takes it."""
        if self.closed_through is not None and window <= self.closed_through:
            return False
        counts = self.counts_by_window.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        self.changes += 1
        return True

    def close(self, through: WindowNumber) -> None:
        """Forget the windows that are reported."""
        self.closed_through = max(through, self.closed_through or through)
        for window in list(self.counts_by_window):
            if window <= self.closed_through:
                del self.counts_by_window[window]

    def shed(self) -> int:
        """Drop the oldest windows over the bound; return how many requests."""
        lost = 0
        while len(self.counts_by_window) > MAX_WINDOWS:
            oldest = min(self.counts_by_window)
            lost += sum(self.counts_by_window.pop(oldest).values())
        return lost


class UsageBook:
    """Hold what all processes have counted, as the holder of the duty does.

    Each process tells its counts from their beginning, so that a message that
    comes twice, or again to the next holder, counts once.
    """

    def __init__(self) -> None:
        self.sources_by_window: dict[
            WindowNumber, dict[Incarnation, Counts]
        ] = {}

    def take(
        self, source: Incarnation, counts_by_window: CountsByWindow
    ) -> bool:
        """Take what a process has counted so far; tell if any is new."""
        is_new = False
        for window, counts in counts_by_window.items():
            known = self.sources_by_window.setdefault(window, {})
            # Counts only grow: a message that was overtaken says less.
            if sum(counts.values()) > sum(known.get(source, {}).values()):
                known[source] = dict(counts)
                is_new = True
        return is_new

    def totals(self, window: WindowNumber) -> Counts:
        """Return the counts of all processes."""
        found: Counts = {}
        for counts in self.sources_by_window.get(window, {}).values():
            for account, count in counts.items():
                found[account] = found.get(account, 0) + count
        return found

    def close(self, before: WindowNumber) -> None:
        """Forget the windows before one."""
        for window in list(self.sources_by_window):
            if window < before:
                del self.sources_by_window[window]

    def merge(
        self,
        others: Mapping[WindowNumber, Mapping[Incarnation, Counts]],
    ) -> None:
        """Take what an earlier holder has written."""
        for window, sources in others.items():
            for source, counts in sources.items():
                self.take(source, {window: counts})
