"""Retry policy of failed orders."""

from __future__ import annotations

import dataclasses

from yuccarill.core.ids import Instant


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """Exponential backoff, with a pause after every `tries` failures."""

    tries: int = 5
    base_seconds: float = 0.5
    longest_seconds: float = 8.0
    # Longer, since each failed try takes the engine out of service.
    pause_seconds: float = 60.0

    def retry_at(self, failures: int, now: Instant) -> Instant:
        """Return when the next try may start."""
        failed_tries = failures % self.tries
        if failed_tries == 0:
            return Instant(now + self.pause_seconds)
        backoff = self.base_seconds * 2.0 ** (failed_tries - 1)
        return Instant(now + min(self.longest_seconds, backoff))
