"""Limit second attempts and hedges while a service is congested."""

from __future__ import annotations

import msgspec

from yuccarill.core.calls import attempt_budget
from yuccarill.core.capacity import token_bucket
from yuccarill.core.ids import Instant


class SecondPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure an instance's own budgets, used without a grant."""

    retries: attempt_budget.BudgetPolicy = attempt_budget.BudgetPolicy(
        ratio=0.04, reserve=1.0
    )
    hedges: attempt_budget.BudgetPolicy = attempt_budget.BudgetPolicy(
        ratio=0.01, reserve=1.0
    )
    # Maximum number of saved second attempts from the lent rate.
    lent_burst: float = 4.0
    # Fraction of a retry deposit that is credited without free capacity.
    least_part: float = 0.9


class SecondAttempts:
    """Grant second attempts from a broker's rate or local budgets."""

    def __init__(self, policy: SecondPolicy, now: Instant) -> None:
        self._policy = policy
        self._retries = attempt_budget.AttemptBudget(policy.retries)
        self._hedges = attempt_budget.AttemptBudget(policy.hedges)
        self._lent = token_bucket.RateBucket(0.0, policy.lent_burst, 0.0, now)
        self._was_limited = False

    def deposit(self, free_part: float) -> None:
        """Credit a first attempt, scaled by the free part of the capacity."""
        least = self._policy.least_part
        self._retries.deposit(least + (1.0 - least) * free_part)
        self._hedges.deposit(free_part)

    def set_lent_rate(self, rate: float, now: Instant) -> None:
        """Apply the rate that the broker lends."""
        self._lent.set_rate(rate, self._policy.lent_burst, now)

    def update_limited(self, is_limited: bool) -> bool:
        """Start or end limiting second attempts; return the argument."""
        if is_limited and not self._was_limited:
            # Attempts saved before the congestion would be sent in one burst.
            self._retries.cap(0.0)
            self._hedges.cap(0.0)
        self._was_limited = is_limited
        return is_limited

    def take_retry(self) -> bool:
        """Take a retry from the local budget; return whether one was left."""
        return self._retries.withdraw()

    def take_lent(self, now: Instant) -> bool:
        """Take a lent second attempt; return whether one was left."""
        return self._lent.try_take(now)

    def take_hedge(self) -> bool:
        """Take a hedge from the local budget; return whether one was left."""
        return self._hedges.withdraw()
