"""Keep extra attempts to a part of the first ones."""

from __future__ import annotations

import msgspec


class BudgetPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how many extra attempts there may be."""

    # Extra attempts for each first one.
    ratio: float = 0.1
    # Extra attempts saved up at most.
    reserve: float = 10.0


class AttemptBudget:
    """Save up for extra attempts with each first one."""

    def __init__(self, policy: BudgetPolicy) -> None:
        self._policy = policy
        self._saved = policy.reserve

    def deposit(self) -> None:
        """Count a first attempt."""
        saved = self._saved + self._policy.ratio
        self._saved = min(saved, self._policy.reserve)

    def withdraw(self) -> bool:
        """Tell whether an extra attempt may be made, and count it."""
        # When all targets fail, every call would be sent three times, and
        # targets that come back meet three times their load.
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
