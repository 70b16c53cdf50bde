"""Token bucket that bounds the number of uses in any second."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import Instant

BURST_SECONDS = 0.15


@dataclasses.dataclass
class TokenBucket:
    """Token bucket that grants at most limit tokens in any second."""

    # Starts empty: a new holder's initial burst, added to the tokens that
    # its predecessor just used, would exceed the store's rate limit.
    limit: float
    filled_at: Instant
    burst_seconds: float = BURST_SECONDS
    tokens: float = 0.0

    @property
    def rate(self) -> float:
        """Return the refill rate in tokens per second."""
        # A full burst at the start of a second adds to the tokens refilled
        # in that second, so the rate is lower by the burst less one token.
        return self.limit - (self._burst - 1.0)

    def try_consume(self, now: Instant, cost: float = 1.0) -> bool:
        """Consume tokens if enough are left; return whether it did."""
        self._fill(now)
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def set_limit(self, limit: float, now: Instant) -> None:
        """Change the limit."""
        self._fill(now)
        self.limit = limit

    @property
    def _burst(self) -> float:
        return max(1.0, self.limit * self.burst_seconds)

    def _fill(self, now: Instant) -> None:
        refilled = self.tokens + self.rate * max(0.0, now - self.filled_at)
        self.tokens = min(self._burst, refilled)
        self.filled_at = max(self.filled_at, now)


def model_limit(total: float, engines: int, all_engines: int) -> float:
    """Return a model's share of the store's downloads per second.

    The shares of all models add up to the total, so that their holders
    keep the store's limit without coordination.
    """
    return total * engines / all_engines if all_engines else 0.0
