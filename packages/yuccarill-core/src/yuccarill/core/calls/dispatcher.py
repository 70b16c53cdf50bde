"""Decide on the calls of one service or model at one instance."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.core.calls import admission
from yuccarill.core.calls import budget
from yuccarill.core.calls import hedging
from yuccarill.core.calls import limit
from yuccarill.core.calls import pool

if TYPE_CHECKING:
    import random

    from yuccarill.core.calls.load import LoadReport
    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import TargetId

T = TypeVar('T')


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the policies of every part."""

    routing: pool.RoutingPolicy = pool.RoutingPolicy()
    admission: admission.AdmissionPolicy = admission.AdmissionPolicy()
    limit: limit.LimitPolicy = limit.LimitPolicy()
    retries: budget.BudgetPolicy = budget.BudgetPolicy(ratio=0.1)
    hedges: budget.BudgetPolicy = budget.BudgetPolicy(ratio=0.03)
    hedging: hedging.HedgePolicy = hedging.HedgePolicy()
    attempts: int = 3


class Dispatcher(Generic[T]):
    """Tie admission, routing and extra attempts together."""

    def __init__(self, policy: Policy, generator: random.Random) -> None:
        self.policy = policy
        self.pool = pool.Pool(policy.routing, generator)
        self.limit = limit.ConcurrencyLimit(policy.limit)
        self.retries = budget.AttemptBudget(policy.retries)
        self.hedges = budget.AttemptBudget(policy.hedges)
        self._admission = admission.Admission[T](policy.admission)
        self._slow = hedging.HedgeTimer(policy.hedging)

    @property
    def in_flight(self) -> int:
        return self._admission.in_flight

    @property
    def queued(self) -> int:
        return self._admission.queued

    @property
    def expected(self) -> float:
        """Return the seconds that a call needs, 0 if it is not known."""
        return self.pool.latency

    def offer(
        self, waiting: admission.Waiting[T], now: Instant
    ) -> list[admission.Waiting[T]]:
        """Take a call; return the calls that are refused for it."""
        return self._admission.offer(
            waiting, self.limit.value, self.expected, now
        )

    def admit(
        self, now: Instant
    ) -> tuple[list[admission.Waiting[T]], list[admission.Waiting[T]]]:
        """Return the calls that go on now, and those given up."""
        admitted, given_up = self._admission.admit(
            self.limit.value, self.expected, now
        )
        for _ in admitted:
            self.retries.deposit()
            self.hedges.deposit()
        return admitted, given_up

    def withdraw(self, waiting: admission.Waiting[T]) -> None:
        """Take back a call that no longer waits."""
        self._admission.withdraw(waiting)

    def finish(self) -> None:
        """Free the place of an admitted call."""
        self._admission.finish()

    def retry_after(self, waiting: admission.Waiting[T]) -> float:
        """Return when a refused caller had best come back, in seconds."""
        wait = self._admission.expected_wait(waiting.caller_class)
        return admission.retry_after(wait)

    def hedge_after(self) -> float | None:
        """Return the seconds after which an attempt counts as slow."""
        if self._admission.queued:
            # Others wait for the place that a second attempt would take.
            return None
        return self._slow.seconds()

    def answer(
        self,
        target: TargetId,
        seconds: float,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Learn from an attempt that was answered."""
        self.pool.answer(target, seconds, report, now)
        self._slow.answer(seconds)
        self.limit.answer(seconds, report, self.in_flight, now)

    def fail(
        self,
        target: TargetId,
        failure: pool.Failure,
        seconds: float,
        now: Instant,
    ) -> None:
        """Learn from an attempt that failed."""
        self.pool.fail(target, failure, now)
        if failure is pool.Failure.TIMED_OUT:
            # Only answers would be counted otherwise, and the limit would
            # grow while every slow call is given up.
            self.limit.answer(seconds, None, self.in_flight, now)
