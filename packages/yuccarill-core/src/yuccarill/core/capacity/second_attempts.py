"""Bound second attempts and hedges while a service is congested."""

from __future__ import annotations

import msgspec

from yuccarill.core.calls import budget
from yuccarill.core.capacity import bucket
from yuccarill.core.ids import Instant


class SecondPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set an instance's own budgets, for while nobody lends."""

    retries: budget.BudgetPolicy = budget.BudgetPolicy(ratio=0.04, reserve=1.0)
    hedges: budget.BudgetPolicy = budget.BudgetPolicy(ratio=0.01, reserve=1.0)
    # Second attempts that may be saved up of what the broker lends.
    lent_burst: float = 4.0
    # Part of the budget of retries that is there while nothing is free.
    least_part: float = 0.9


class SecondAttempts:
    """Count second attempts against what is lent, or saved up here."""

    def __init__(self, policy: SecondPolicy, now: Instant) -> None:
        self._policy = policy
        self._retries = budget.AttemptBudget(policy.retries)
        self._hedges = budget.AttemptBudget(policy.hedges)
        self._lent = bucket.RateBucket(0.0, policy.lent_burst, 0.0, now)
        self._was_bounded = False

    def deposit(self, free_part: float) -> None:
        """Count a first attempt, with so much of the capacity free."""
        least = self._policy.least_part
        self._retries.deposit(least + (1.0 - least) * free_part)
        self._hedges.deposit(free_part)

    def lend(self, rate: float, now: Instant) -> None:
        """Take the rate that the broker lends."""
        self._lent.set_rate(rate, self._policy.lent_burst, now)

    def bound(self, is_bounded: bool) -> bool:
        """Note whether second attempts are bounded, and return it."""
        if is_bounded and not self._was_bounded:
            # What was saved up in quiet times would be sent all at once.
            self._retries.cap(0.0)
            self._hedges.cap(0.0)
        self._was_bounded = is_bounded
        return is_bounded

    def may_try_again(self) -> bool:
        """Take a second attempt out of this instance's own budget."""
        return self._retries.withdraw()

    def may_use_lent(self, now: Instant) -> bool:
        """Take a second attempt out of the fleet's budget."""
        return self._lent.take(now)

    def may_hedge(self) -> bool:
        """Take a hedge out of this instance's own budget."""
        return self._hedges.withdraw()
