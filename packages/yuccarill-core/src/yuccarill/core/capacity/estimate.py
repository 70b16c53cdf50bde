"""Estimate how many requests a second a service can serve."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Collection

    from yuccarill.core.capacity.messages import DemandReport


class EstimatePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the capacity estimate and the wanted utilization."""

    # Bounds of the requests at targets per slot. Above 1 since some targets
    # have a free slot while others queue; high where service is fast.
    least_fill: float = 1.0
    most_fill: float = 2.5
    # `most_fill` if no class has excess demand: requests that targets refuse
    # are then those of accounts within their share.
    most_fill_below: float = 1.5
    # Fractions of the wanted time at which the fill is highest and lowest.
    early_part: float = 0.3
    late_part: float = 0.8
    # Fraction of refused requests above which the rate is not raised.
    refused_part: float = 0.2
    refused_part_below: float = 0.06
    # Minimum seconds between two estimates.
    period: float = 0.2
    # Seconds in which a deviation from the wanted fill is corrected.
    settle: float = 0.5
    # Upper bound of `settle`, as a multiple of the service time.
    settle_services: float = 4.0
    # Bounds of the rate as multiples of the measured capacity.
    lowest: float = 0.3
    highest: float = 2.0
    # Minimum requests a second per slot: without probes, recovered targets
    # would go unnoticed.
    probes: float = 0.1
    # Weight of the newest sample in the estimate.
    recent_part: float = 0.6


class CapacityEstimate:
    """Estimate a service's capacity from its instances' reports.

    While all slots are in use, the finished rate is the capacity; otherwise
    it is scaled to the number of slots. Source: Little, A proof for the
    queuing formula L = lambda W, 1961.
    """

    def __init__(self, policy: EstimatePolicy) -> None:
        self._policy = policy
        self._rate: float | None = None
        self._next_update_at = Instant(-math.inf)
        # Fraction of the slots in use.
        self.used_part = 0.0

    @property
    def rate(self) -> float:
        """Return the requests a second to send, 0 if unknown."""
        return self._rate or 0.0

    def restart(self) -> None:
        """Discard an estimate from too few reports."""
        self._rate = None

    def update(
        self,
        reports: Collection[DemandReport],
        places: float,
        capped_part: float,
        now: Instant,
    ) -> None:
        """Update the estimate, at most once a period.

        `capped_part` is the capacity fraction of classes with excess demand.
        """
        if now < self._next_update_at:
            return
        self._next_update_at = Instant(now + self._policy.period)
        rate = self._measure(reports, places, capped_part)
        if self._rate is None:
            self._rate = rate
        self._rate += self._policy.recent_part * (rate - self._rate)

    def _measure(
        self,
        reports: Collection[DemandReport],
        places: float,
        capped_part: float,
    ) -> float:
        policy = self._policy
        finished = sum(report.finished for report in reports)
        refused = sum(report.refused for report in reports)
        in_flight = sum(report.in_flight for report in reports)
        min_rate = policy.probes * places
        if in_flight <= 0.0 or places <= 0.0:
            return max(finished, min_rate)
        self.used_part = in_flight / places
        allowed = _lerp(
            policy.refused_part_below, policy.refused_part, capped_part
        )
        refused_part = refused / max(finished + refused, 0.001)
        is_full = refused_part > allowed
        usable_slots = places
        if is_full:
            # Targets have fewer free slots than the inventory lists.
            usable_slots *= 1.0 - refused_part
        capacity = finished * max(1.0, usable_slots / in_flight)
        seconds = in_flight / max(finished, 0.001)
        most = _lerp(policy.most_fill_below, policy.most_fill, capped_part)
        missing = self._fill(reports, seconds, most) * places - in_flight
        settle = min(policy.settle, policy.settle_services * seconds)
        correction = missing / settle
        if is_full:
            correction = min(correction, 0.0)
        rate = min(
            max(capacity + correction, policy.lowest * capacity),
            policy.highest * capacity,
        )
        return max(rate, min_rate)

    def _fill(
        self, reports: Collection[DemandReport], seconds: float, most: float
    ) -> float:
        """Return the wanted number of requests at targets per slot."""
        policy = self._policy
        wanted = sum(each.wanted_seconds for each in reports) / len(reports)
        ratio = seconds / max(wanted, 0.001)
        span = policy.late_part - policy.early_part
        fraction = min(max((policy.late_part - ratio) / span, 0.0), 1.0)
        return _lerp(policy.least_fill, most, fraction)


def _lerp(low: float, high: float, fraction: float) -> float:
    return low + fraction * (high - low)
