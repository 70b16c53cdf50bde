"""Measure what an instance is asked for, by class."""

from __future__ import annotations

import msgspec

from yuccarill.core.capacity.messages import ClassDemand
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity import meters
from yuccarill.core.ids import Instant


class DemandPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how long and of how many accounts demand is remembered."""

    # Seconds over which requests are averaged.
    average: float = 0.5
    # Accounts that are told apart; the others are one class a priority.
    accounts: int = 64
    # Requests a second below which an account is forgotten.
    forgotten: float = 0.02


class DemandMeter:
    """Tell the accounts that ask for most from the rest."""

    def __init__(self, policy: DemandPolicy) -> None:
        self._policy = policy
        self._meters_by_class: dict[DemandClass, meters.RateMeter] = {}
        # Classes whose requests were counted with the rest.
        self._rest_by_priority: dict[int, set[DemandClass]] = {}

    def note(self, demand_class: DemandClass, now: Instant) -> None:
        """Count a request that came."""
        meter = self._meters_by_class.get(demand_class)
        if meter is None and self._is_full(demand_class, now):
            demand_class = self._put_with_rest(demand_class)
            meter = self._meters_by_class.get(demand_class)
        if meter is None:
            meter = meters.RateMeter(self._policy.average, now)
            self._meters_by_class[demand_class] = meter
        meter.note(now)

    def offered(self, now: Instant) -> float:
        """Return the requests a second of all classes."""
        return sum(m.rate(now) for m in self._meters_by_class.values())

    def demands(self, now: Instant) -> tuple[ClassDemand, ...]:
        """Return what each class asks for, and forget those that left."""
        self._forget(now)
        found = tuple(
            ClassDemand(
                demand_class=each,
                offered=meter.rate(now),
                accounts=self._accounts(each),
            )
            for each, meter in self._meters_by_class.items()
        )
        self._rest_by_priority.clear()
        return found

    def _accounts(self, demand_class: DemandClass) -> int:
        if demand_class.account is not None:
            return 1
        rest = self._rest_by_priority.get(demand_class.priority, ())
        return max(1, len(rest))

    def _is_full(self, demand_class: DemandClass, now: Instant) -> bool:
        if demand_class.account is None:
            return False
        if len(self._meters_by_class) < self._policy.accounts:
            return False
        self._forget(now)
        return len(self._meters_by_class) >= self._policy.accounts

    def _put_with_rest(self, demand_class: DemandClass) -> DemandClass:
        rest = self._rest_by_priority.setdefault(demand_class.priority, set())
        if len(rest) < self._policy.accounts:
            rest.add(demand_class)
        return DemandClass(priority=demand_class.priority)

    def _forget(self, now: Instant) -> None:
        self._meters_by_class = {
            each: meter
            for each, meter in self._meters_by_class.items()
            if meter.rate(now) >= self._policy.forgotten
        }
