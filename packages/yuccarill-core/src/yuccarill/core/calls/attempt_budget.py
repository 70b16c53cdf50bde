"""Limit extra attempts to a fraction of the first attempts."""

from __future__ import annotations

import msgspec


class BudgetPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure a budget of extra attempts."""

    # Extra attempts per first attempt.
    ratio: float = 0.1
    # Maximum number of saved extra attempts.
    reserve: float = 10.0


class AttemptBudget:
    """Grant extra attempts in proportion to first attempts."""

    def __init__(self, policy: BudgetPolicy) -> None:
        self._policy = policy
        self._saved = policy.reserve

    def deposit(self, factor: float = 1.0) -> None:
        """Credit a first attempt, scaled by a factor."""
        saved = self._saved + factor * self._policy.ratio
        self._saved = min(saved, self._policy.reserve)

    def cap(self, maximum: float) -> None:
        """Reduce the saved extra attempts to a maximum."""
        self._saved = min(self._saved, maximum)

    def withdraw(self) -> bool:
        """Take an extra attempt if available; return whether it was taken."""
        # Without a budget, retries multiply the load of failing targets and
        # prevent their recovery.
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
