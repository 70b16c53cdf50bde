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

    def deposit(self, part: float = 1.0) -> None:
        """Count a first attempt, of which only a part is saved up."""
        saved = self._saved + part * self._policy.ratio
        self._saved = min(saved, self._policy.reserve)

    def cut(self, saved: float) -> None:
        """Forget what was saved up beyond a number of attempts."""
        self._saved = min(self._saved, saved)

    def withdraw(self) -> bool:
        """Tell whether an extra attempt may be made, and count it."""
        # When all targets fail, every call would be sent three times, and
        # targets that come back meet three times their load.
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
