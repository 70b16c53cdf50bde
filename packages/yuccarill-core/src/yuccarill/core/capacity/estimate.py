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
    """Set how full targets are kept."""

    # Requests at targets for each place: above 1, since some targets have a
    # free place while others queue, and the most where callers have time.
    least_fill: float = 1.0
    most_fill: float = 2.5
    # The most where all capacity goes to accounts that stay below their
    # part: what targets refuse is refused to them.
    most_fill_below: float = 1.5
    # Parts of the time that callers have at which the fill is most and least.
    early_part: float = 0.3
    late_part: float = 0.8
    # Part of the requests that targets may refuse before no more is sent.
    refused_part: float = 0.2
    refused_part_below: float = 0.06
    # Seconds between two estimates.
    period: float = 0.2
    # Seconds in which what is too much, or lacks, is made up for.
    settle: float = 0.5
    # The same as times the seconds of service, where that is less.
    settle_services: float = 4.0
    # Times the rate that was finished, at most and at least.
    lowest: float = 0.3
    highest: float = 2.0
    # Requests a second for each place, however little is finished: without
    # any, nobody would see targets return.
    probes: float = 0.1
    # Part of an estimate that the next one replaces.
    recent_part: float = 0.6


class CapacityEstimate:
    """Follow a service's capacity by what its instances report.

    While all places are in use, what is finished is the capacity; while
    some are free, it would be as much more as there are places. Source:
    Little, A proof for the queuing formula L = lambda W, 1961.
    """

    def __init__(self, policy: EstimatePolicy) -> None:
        self._policy = policy
        self._rate: float | None = None
        self._next_at = Instant(-math.inf)
        # The part of the places that are in use.
        self.used_part = 0.0

    @property
    def rate(self) -> float:
        """Return the requests a second to send, 0 if it is not known."""
        return self._rate or 0.0

    def restart(self) -> None:
        """Forget what was estimated from too few reports."""
        self._rate = None

    def learn(
        self,
        reports: Collection[DemandReport],
        places: float,
        short_part: float,
        now: Instant,
    ) -> None:
        """Estimate anew, at most once a period.

        The short part goes to those who ask for more than they get.
        """
        if now < self._next_at:
            return
        self._next_at = Instant(now + self._policy.period)
        rate = self._measure(reports, places, short_part)
        if self._rate is None:
            self._rate = rate
        self._rate += self._policy.recent_part * (rate - self._rate)

    def _measure(
        self,
        reports: Collection[DemandReport],
        places: float,
        short_part: float,
    ) -> float:
        policy = self._policy
        finished = sum(report.finished for report in reports)
        refused = sum(report.refused for report in reports)
        in_flight = sum(report.in_flight for report in reports)
        least = policy.probes * places
        if in_flight <= 0.0 or places <= 0.0:
            return max(finished, least)
        self.used_part = in_flight / places
        allowed = _between(
            policy.refused_part_below, policy.refused_part, short_part
        )
        refused_part = refused / max(finished + refused, 0.001)
        is_full = refused_part > allowed
        there = places
        if is_full:
            # There is not the room that the list says.
            there *= 1.0 - refused_part
        capacity = finished * max(1.0, there / in_flight)
        seconds = in_flight / max(finished, 0.001)
        most = _between(policy.most_fill_below, policy.most_fill, short_part)
        lacking = self._fill(reports, seconds, most) * places - in_flight
        settle = min(policy.settle, policy.settle_services * seconds)
        change = lacking / settle
        if is_full:
            change = min(change, 0.0)
        rate = min(
            max(capacity + change, policy.lowest * capacity),
            policy.highest * capacity,
        )
        return max(rate, least)

    def _fill(
        self, reports: Collection[DemandReport], seconds: float, most: float
    ) -> float:
        """Return the requests at targets for each place to aim at."""
        policy = self._policy
        wanted = sum(each.wanted_seconds for each in reports) / len(reports)
        used = seconds / max(wanted, 0.001)
        span = policy.late_part - policy.early_part
        part = min(max((policy.late_part - used) / span, 0.0), 1.0)
        return _between(policy.least_fill, most, part)


def _between(low: float, high: float, part: float) -> float:
    return low + part * (high - low)
