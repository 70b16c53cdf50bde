"""Decide when a failed order is tried again."""

from __future__ import annotations

import dataclasses

from yuccarill.core.ids import Instant


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """Back off after each failure; pause once the budget is spent."""

    tries: int = 5
    base_seconds: float = 0.5
    longest_seconds: float = 8.0
    # An engine that fails every try costs its model capacity each time.
    pause_seconds: float = 60.0

    def retry_at(self, failures: int, now: Instant) -> Instant:
        """Return when the next try may start."""
        spent = failures % self.tries
        if spent == 0:
            return Instant(now + self.pause_seconds)
        backoff = self.base_seconds * 2.0 ** (spent - 1)
        return Instant(now + min(self.longest_seconds, backoff))
