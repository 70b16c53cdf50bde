"""Count the started requests of each account by window."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import WindowNumber

if TYPE_CHECKING:
    from collections.abc import Mapping

Counts = dict[AccountName, int]
CountsByWindow = dict[WindowNumber, Counts]

# Unreported windows that are kept while no instance holds the duty to report
# them. Older ones are dropped.
MAX_WINDOWS = 100


class LocalCounts:
    """Hold the counts of this process that are not reported yet."""

    def __init__(self) -> None:
        self.counts_by_window: CountsByWindow = {}
        # Last reported window; closed for further counts.
        self.closed_through: WindowNumber | None = None
        # Incremented by each change.
        self.changes = 0

    def add(self, window: WindowNumber, account: AccountName) -> bool:
        """Count a request; return false if its window is already closed."""
        if self.closed_through is not None and window <= self.closed_through:
            return False
        counts = self.counts_by_window.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        self.changes += 1
        return True

    def close(self, through: WindowNumber) -> None:
        """Drop the reported windows."""
        self.closed_through = max(through, self.closed_through or through)
        for window in list(self.counts_by_window):
            if window <= self.closed_through:
                del self.counts_by_window[window]

    def drop_excess(self) -> int:
        """Drop the oldest excess windows; return their request count."""
        lost = 0
        while len(self.counts_by_window) > MAX_WINDOWS:
            oldest = min(self.counts_by_window)
            lost += sum(self.counts_by_window.pop(oldest).values())
        return lost


class UsageTotals:
    """Aggregate the counts of all processes at the holder of the duty.

    Each process sends cumulative counts, so that a message that is repeated or
    sent again to the next holder counts once.
    """

    def __init__(self) -> None:
        self.sources_by_window: dict[
            WindowNumber, dict[Incarnation, Counts]
        ] = {}

    def merge_source(
        self, source: Incarnation, counts_by_window: CountsByWindow
    ) -> bool:
        """Merge the counts of a process; return whether any is new."""
        is_new = False
        for window, counts in counts_by_window.items():
            known = self.sources_by_window.setdefault(window, {})
            # Counts only grow, so a reordered message has a lower sum.
            if sum(counts.values()) > sum(known.get(source, {}).values()):
                known[source] = dict(counts)
                is_new = True
        return is_new

    def totals(self, window: WindowNumber) -> Counts:
        """Return the counts of a window, summed over all processes."""
        found: Counts = {}
        for counts in self.sources_by_window.get(window, {}).values():
            for account, count in counts.items():
                found[account] = found.get(account, 0) + count
        return found

    def close(self, before: WindowNumber) -> None:
        """Drop the windows before the given one."""
        for window in list(self.sources_by_window):
            if window < before:
                del self.sources_by_window[window]

    def merge(
        self,
        others: Mapping[WindowNumber, Mapping[Incarnation, Counts]],
    ) -> None:
        """Merge the counts that an earlier holder stored."""
        for window, sources in others.items():
            for source, counts in sources.items():
                self.merge_source(source, {window: counts})
