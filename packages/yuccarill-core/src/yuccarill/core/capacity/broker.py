"""Divide a service's capacity among the instances that request it."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.capacity import estimate
from yuccarill.core.capacity import fairness
from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.capacity.messages import ClassDemand
from yuccarill.core.capacity.messages import ClassGrant
from yuccarill.core.capacity.messages import ClassPart
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity.messages import DemandReport
from yuccarill.core.capacity.messages import PriorityLevel
from yuccarill.core.capacity.overview import ClassOverview
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ServiceName


class BrokerPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure how much capacity is lent and for how long."""

    estimate: estimate.EstimatePolicy = estimate.EstimatePolicy()
    shares: fairness.SharePolicy = fairness.SharePolicy()
    # Seconds for which a report and its grant are valid.
    valid_for: float = 1.0
    # Seconds for which a new broker collects reports before it lends.
    warm_up: float = 1.0
    # Minimum seconds between two divisions.
    period: float = 0.05
    # Maximum number of classes whose lent fraction is sent to all instances.
    classes: int = 128
    # Fraction of the capacity up to which demand is not limited.
    spare_part: float = 0.8
    # Second attempts lent per finished request.
    second_part: float = 0.14
    # Bounds of the retry delay of refused requests, in seconds.
    min_retry: float = 0.05
    max_retry: float = 10.0


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Store the latest report of an instance and the rate lent to it."""

    report: DemandReport
    # Requests a second lent to classes with excess demand.
    rate: float
    until: Instant


class CapacityBroker:
    """Lend one service's capacity to instances in leases that expire."""

    def __init__(self, service: ServiceName, policy: BrokerPolicy) -> None:
        self.service = service
        self._policy = policy
        self._estimate = estimate.CapacityEstimate(policy.estimate)
        self.leases_by_instance: dict[InstanceId, Lease] = {}
        self._warm_up_ends_at = Instant(0.0)
        self._next_division_at = Instant(-math.inf)
        self._totals = Totals(())
        self._division = fairness.Division(
            rates_by_class={}, levels_by_priority={}
        )
        # Requests a second for all classes with excess demand.
        self._lendable = 0.0
        # Lent fraction of demand, for the largest classes with excess demand.
        self._largest_parts: dict[DemandClass, float] = {}

    def lend(
        self, report: DemandReport, places: int, instances: int, now: Instant
    ) -> CapacityGrant:
        """Return the grant for the instance that sent a report.

        `instances` is the number of serving instances. A fallback broker lends
        capacity only in proportion to the instances that report to it.
        """
        self._record_report(report, now)
        usable = float(places)
        if report.passed_over:
            reporting = len(self.leases_by_instance)
            usable *= min(1.0, reporting / max(1, instances))
        if now < self._warm_up_ends_at:
            return self._empty_grant(report)
        self._divide(usable, now)
        if self._totals.offered <= self.capacity * self._policy.spare_part:
            return self._unlimited_grant(report)
        return self._limited_grant(report)

    def _divide(self, places: float, now: Instant) -> None:
        """Divide the capacity, at most once a period."""
        if now < self._next_division_at:
            return
        self._next_division_at = Instant(now + self._policy.period)
        reports = [lease.report for lease in self.leases_by_instance.values()]
        self._estimate.update(reports, places, self._capped_part(), now)
        self._totals = Totals(reports)
        self._division = fairness.divide(
            self._totals.offered_by_class,
            self._totals.accounts_by_class,
            self.capacity,
            self._policy.shares,
        )
        rates = self._division.rates_by_class
        offered = self._totals.offered_by_class
        capped = [key for key in rates if _is_capped(offered[key], rates[key])]
        self._lendable = sum(rates[key] for key in capped)
        largest = heapq.nlargest(
            self._policy.classes, capped, key=lambda key: offered[key]
        )
        self._largest_parts = {key: self._lent_part(key) for key in largest}

    def _capped_part(self) -> float:
        return self._lendable / self.capacity if self.capacity else 1.0

    def overview(self) -> tuple[ClassOverview, ...]:
        """Return the offered and lent rates of all instances by class."""
        rates = self._division.rates_by_class
        return tuple(
            ClassOverview(
                priority=key.priority,
                account=key.account,
                offered=offered,
                lent=rates[key] if _is_capped(offered, rates[key]) else None,
            )
            for key, offered in self._totals.offered_by_class.items()
        )

    def lent_rate(self) -> float:
        """Return the requests a second lent by all leases."""
        return sum(lease.rate for lease in self.leases_by_instance.values())

    @property
    def capacity(self) -> float:
        """Return the requests a second that the service can serve."""
        return self._estimate.rate

    def _empty_grant(self, report: DemandReport) -> CapacityGrant:
        return CapacityGrant(
            service=self.service,
            number=report.number,
            grants=(),
            valid_for=0.0,
        )

    def _record_report(self, report: DemandReport, now: Instant) -> None:
        if not self.leases_by_instance:
            self._warm_up_ends_at = Instant(now + self._policy.warm_up)
        self.leases_by_instance = {
            instance: lease
            for instance, lease in self.leases_by_instance.items()
            if now < lease.until
        }
        previous = self.leases_by_instance.get(report.instance)
        if previous is not None and previous.report.number >= report.number:
            return
        self.leases_by_instance[report.instance] = Lease(
            report=report,
            rate=0.0 if previous is None else previous.rate,
            until=Instant(now + self._policy.valid_for),
        )

    def _unlimited_grant(self, report: DemandReport) -> CapacityGrant:
        self._record_rate(report, 0.0)
        return CapacityGrant(
            service=self.service,
            number=report.number,
            grants=(),
            valid_for=self._policy.valid_for,
            is_congested=False,
            free_part=self._free_part(),
        )

    def _limited_grant(self, report: DemandReport) -> CapacityGrant:
        rates = _rates(report.demands, self._totals, self._division)
        rate = sum(rates.values())
        available_part = self._available_part(report.instance, rate)
        self._record_rate(report, rate * available_part)
        return CapacityGrant(
            service=self.service,
            number=report.number,
            grants=tuple(
                ClassGrant(
                    demand_class=each,
                    rate=rates[each] * available_part,
                    part=self._lent_part(each),
                )
                for each in rates
            ),
            parts=tuple(
                ClassPart(demand_class=each, part=part)
                for each, part in self._largest_parts.items()
                if each not in rates
            ),
            levels=tuple(
                PriorityLevel(priority=priority, level=level)
                for priority, level in (
                    self._division.levels_by_priority.items()
                )
            ),
            valid_for=self._policy.valid_for,
            second_rate=self._second_attempt_rate(report),
            retry_after=self._retry_after(),
            free_part=self._free_part(),
        )

    def _lent_part(self, demand_class: DemandClass) -> float:
        offered = self._totals.offered_by_class[demand_class]
        return self._division.rates_by_class[demand_class] / offered

    def _available_part(self, instance: InstanceId, rate: float) -> float:
        """Return the fraction of a rate that is not lent to others."""
        if rate <= 0.0:
            return 1.0
        others = self.lent_rate() - self.leases_by_instance[instance].rate
        return min(1.0, max(0.0, self._lendable - others) / rate)

    def _second_attempt_rate(self, report: DemandReport) -> float:
        """Return the second attempts a second lent to an instance."""
        # Half of the budget is divided in proportion to refused requests:
        # equal parts would mostly go to instances that need none.
        part = 0.5 / len(self.leases_by_instance)
        if self._totals.refused > 0.0:
            part += 0.5 * report.refused / self._totals.refused
        return self._policy.second_part * self._totals.finished * part

    def _free_part(self) -> float:
        capacity = self.capacity
        if capacity <= 0.0:
            return 0.0
        return max(0.0, 1.0 - self._totals.offered / capacity)

    def _record_rate(self, report: DemandReport, rate: float) -> None:
        lease = self.leases_by_instance[report.instance]
        self.leases_by_instance[report.instance] = Lease(
            report=lease.report, rate=rate, until=lease.until
        )

    def _retry_after(self) -> float:
        # Seconds needed to serve the excess demand of one second.
        wait = self._totals.offered / max(self.capacity, 0.001) - 1.0
        return min(max(wait, self._policy.min_retry), self._policy.max_retry)


class Totals:
    """Sum the demand that all instances report."""

    def __init__(self, reports: Iterable[DemandReport]) -> None:
        self.offered_by_class: dict[DemandClass, float] = {}
        self.accounts_by_class: dict[DemandClass, int] = {}
        self.finished = 0.0
        self.refused = 0.0
        for report in reports:
            self.finished += report.finished
            self.refused += report.refused
            for each in report.demands:
                self._add(each)
        self.offered = sum(self.offered_by_class.values())

    def _add(self, demand: ClassDemand) -> None:
        key = demand.demand_class
        offered = self.offered_by_class.get(key, 0.0)
        self.offered_by_class[key] = offered + demand.offered
        # Instances report the same small accounts, so the counts overlap.
        accounts = self.accounts_by_class.get(key, 1)
        self.accounts_by_class[key] = max(accounts, demand.accounts)


def _rates(
    demands: Iterable[ClassDemand],
    totals: Totals,
    division: fairness.Division,
) -> dict[DemandClass, float]:
    """Return an instance's rates for the classes with excess demand."""
    rates: dict[DemandClass, float] = {}
    for each in demands:
        key = each.demand_class
        offered = totals.offered_by_class.get(key, 0.0)
        rate = division.rates_by_class.get(key, 0.0)
        if _is_capped(offered, rate):
            rates[key] = rate * each.offered / offered
    return rates


def _is_capped(offered: float, rate: float) -> bool:
    return rate < 0.999 * offered
