"""Measure an instance's demand by class."""

from __future__ import annotations

import msgspec

from yuccarill.core.capacity.messages import ClassDemand
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity import meters
from yuccarill.core.ids import Instant


class DemandPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the measurement of demand."""

    # Seconds over which requests are averaged.
    average: float = 0.5
    # Accounts measured separately; the rest are combined per priority.
    accounts: int = 64
    # Requests a second below which an account is no longer measured.
    forgotten: float = 0.02


class DemandMeter:
    """Measure demand by class within bounded memory."""

    def __init__(self, policy: DemandPolicy) -> None:
        self._policy = policy
        self._meters_by_class: dict[DemandClass, meters.RateMeter] = {}
        # Classes that are measured in combination, by priority.
        self._rest_by_priority: dict[int, set[DemandClass]] = {}

    def record(self, demand_class: DemandClass, now: Instant) -> None:
        """Count an arrived request."""
        meter = self._meters_by_class.get(demand_class)
        if meter is None and self._is_full(demand_class, now):
            demand_class = self._add_to_rest(demand_class)
            meter = self._meters_by_class.get(demand_class)
        if meter is None:
            meter = meters.RateMeter(self._policy.average, now)
            self._meters_by_class[demand_class] = meter
        meter.record(now)

    def offered(self, now: Instant) -> float:
        """Return the total requests a second."""
        return sum(m.rate(now) for m in self._meters_by_class.values())

    def demands(self, now: Instant) -> tuple[ClassDemand, ...]:
        """Return the demand of each class and drop inactive classes."""
        self._drop_inactive(now)
        demands = tuple(
            ClassDemand(
                demand_class=each,
                offered=meter.rate(now),
                accounts=self._account_count(each),
            )
            for each, meter in self._meters_by_class.items()
        )
        self._rest_by_priority.clear()
        return demands

    def _account_count(self, demand_class: DemandClass) -> int:
        if demand_class.account is not None:
            return 1
        rest = self._rest_by_priority.get(demand_class.priority, ())
        return max(1, len(rest))

    def _is_full(self, demand_class: DemandClass, now: Instant) -> bool:
        if demand_class.account is None:
            return False
        if len(self._meters_by_class) < self._policy.accounts:
            return False
        self._drop_inactive(now)
        return len(self._meters_by_class) >= self._policy.accounts

    def _add_to_rest(self, demand_class: DemandClass) -> DemandClass:
        rest = self._rest_by_priority.setdefault(demand_class.priority, set())
        if len(rest) < self._policy.accounts:
            rest.add(demand_class)
        return DemandClass(priority=demand_class.priority)

    def _drop_inactive(self, now: Instant) -> None:
        self._meters_by_class = {
            each: meter
            for each, meter in self._meters_by_class.items()
            if meter.rate(now) >= self._policy.forgotten
        }
