"""Dispatch the calls of one service or model at one instance."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.core.calls import admission
from yuccarill.core.calls import attempt_budget
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
    """Configure a dispatcher."""

    routing: pool.RoutingPolicy = pool.RoutingPolicy()
    admission: admission.AdmissionPolicy = admission.AdmissionPolicy()
    limit: limit.LimitPolicy = limit.LimitPolicy()
    retries: attempt_budget.BudgetPolicy = attempt_budget.BudgetPolicy(
        ratio=0.1
    )
    hedges: attempt_budget.BudgetPolicy = attempt_budget.BudgetPolicy(
        ratio=0.03
    )
    hedging: hedging.HedgePolicy = hedging.HedgePolicy()
    attempts: int = 3


class Dispatcher(Generic[T]):
    """Combine admission, routing and extra attempts."""

    def __init__(self, policy: Policy, generator: random.Random) -> None:
        self.policy = policy
        self.pool = pool.Pool(policy.routing, generator)
        self.limit = limit.ConcurrencyLimit(policy.limit)
        self.retries = attempt_budget.AttemptBudget(policy.retries)
        self.hedges = attempt_budget.AttemptBudget(policy.hedges)
        self._admission = admission.Admission[T](policy.admission)
        self._hedge_timer = hedging.HedgeTimer(policy.hedging)

    @property
    def in_flight(self) -> int:
        return self._admission.in_flight

    @property
    def queued(self) -> int:
        return self._admission.queued

    @property
    def expected_latency(self) -> float:
        """Return the mean latency in seconds, 0 if unknown."""
        return self.pool.latency

    def offer(
        self, waiting: admission.QueuedCall[T], now: Instant
    ) -> list[admission.QueuedCall[T]]:
        """Queue or refuse a call; return the refused calls."""
        return self._admission.offer(
            waiting, self.limit.value, self.expected_latency, now
        )

    def admit(
        self, now: Instant
    ) -> tuple[list[admission.QueuedCall[T]], list[admission.QueuedCall[T]]]:
        """Return the calls to start now and those given up as too late."""
        admitted, given_up = self._admission.admit(
            self.limit.value, self.expected_latency, now
        )
        for _ in admitted:
            self.retries.deposit()
            self.hedges.deposit()
        return admitted, given_up

    def withdraw(self, waiting: admission.QueuedCall[T]) -> None:
        """Remove a call from the queue if it is still queued."""
        self._admission.withdraw(waiting)

    def release(self) -> None:
        """Release the slot of an admitted call."""
        self._admission.release()

    def retry_after(self, waiting: admission.QueuedCall[T]) -> float:
        """Return the seconds after which a refused caller should retry."""
        wait = self._admission.expected_wait(waiting.caller_class)
        return admission.retry_after(wait)

    def hedge_after(self) -> float | None:
        """Return the seconds after which an attempt is hedged, if at all."""
        if self._admission.queued:
            # A hedge would take the slot of a queued call.
            return None
        return self._hedge_timer.delay()

    def record_answer(
        self,
        target: TargetId,
        seconds: float,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Record an answered attempt."""
        self.pool.record_answer(target, seconds, report, now)
        self._hedge_timer.record_latency(seconds)
        self.limit.record_answer(seconds, report, self.in_flight, now)

    def record_failure(
        self,
        target: TargetId,
        failure: pool.Failure,
        seconds: float,
        now: Instant,
    ) -> None:
        """Record a failed attempt."""
        self.pool.record_failure(target, failure, now)
        if failure is pool.Failure.TIMED_OUT:
            # Without timeouts, the limit would see only fast answers and
            # grow while every slow call is given up.
            self.limit.record_answer(seconds, None, self.in_flight, now)
