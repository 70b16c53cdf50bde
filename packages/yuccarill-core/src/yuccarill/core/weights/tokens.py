"""Spread downloads and reads over time so that a rate limit holds."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import Instant

BURST_SECONDS = 0.15


@dataclasses.dataclass
class TokenSchedule:
    """Hand out at most so many tokens in any second; start with none."""

    # A new holder that started with a full burst would add it to what its
    # predecessor took a moment ago, and the store would refuse both.
    limit: float
    filled_at: Instant
    burst_seconds: float = BURST_SECONDS
    tokens: float = 0.0

    @property
    def rate(self) -> float:
        """Return the tokens a second that come in."""
        # A second may begin with a full burst, so that the burst beyond
        # its first token has to be left out of what comes in.
        return self.limit - (self._burst - 1.0)

    def take(self, now: Instant, cost: float = 1.0) -> bool:
        """Take tokens if there are enough."""
        self._fill(now)
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def set_limit(self, limit: float, now: Instant) -> None:
        """Change the limit from now on."""
        self._fill(now)
        self.limit = limit

    @property
    def _burst(self) -> float:
        return max(1.0, self.limit * self.burst_seconds)

    def _fill(self, now: Instant) -> None:
        grown = self.tokens + self.rate * max(0.0, now - self.filled_at)
        self.tokens = min(self._burst, grown)
        self.filled_at = max(self.filled_at, now)


def model_limit(total: float, engines: int, all_engines: int) -> float:
    """Return a model's share of the store's downloads a second.

    The shares of all models add up to the total, so that their holders
    keep the store's limit without asking each other.
    """
    return total * engines / all_engines if all_engines else 0.0
