"""Throttle requests at an instance that has no broker's grant."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.capacity import fairness
from yuccarill.core.capacity import meters
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    import random

    from yuccarill.core.capacity import demand
    from yuccarill.core.capacity.messages import DemandClass


class ThrottlePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure how far an instance exceeds what targets accept."""

    # Requests sent per request that targets accepted.
    ratio: float = 1.3
    # Requests sent per accepted request while answers are late.
    late_ratio: float = 0.7
    # Seconds over which requests are averaged.
    window: float = 1.0
    # Refusals within the window below which nothing is throttled, since a
    # single stopping target can cause them.
    min_refused: float = 1.5
    # Minimum seconds between two divisions among accounts.
    period: float = 0.05
    shares: fairness.SharePolicy = fairness.SharePolicy()


class LocalThrottle:
    """Refuse at random the requests that targets can't serve.

    Refusals fall on the classes with most demand at this instance. Source:
    Beyer and others, Site Reliability Engineering, 2016, chapter 21,
    client-side throttling. Works with less than one slot per instance.
    """

    def __init__(
        self, policy: ThrottlePolicy, generator: random.Random, now: Instant
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._offered = meters.RateMeter(policy.window, now)
        self._refused = meters.RateMeter(policy.window, now)
        self._rates_by_class: dict[DemandClass, float] = {}
        self._offered_by_class: dict[DemandClass, float] = {}
        self._next_division_at = now
        self._ratio = policy.ratio

    def record(self, now: Instant) -> None:
        """Count a request on which the throttle does not decide."""
        self._offered.record(now)

    def offer(
        self,
        demand_class: DemandClass,
        demands: demand.DemandMeter,
        is_late: bool,
        now: Instant,
    ) -> bool:
        """Count a request and return whether to send it."""
        self._offered.record(now)
        self._ratio = self._policy.ratio
        if is_late:
            self._ratio = self._policy.late_ratio
        part = self._class_part_to_refuse(demand_class, demands, now)
        if part > 0.0 and self._generator.random() < part:
            # The request counts as not accepted by targets.
            self._refused.record(now)
            return False
        return True

    def record_refusal(self, now: Instant) -> None:
        """Count a request that a target refused for lack of capacity."""
        self._refused.record(now)

    def is_active(self, now: Instant) -> bool:
        """Return whether recent refusals suffice to throttle requests."""
        refused = self._refused.rate(now) * self._policy.window
        return refused >= self._policy.min_refused

    def part_to_refuse(self, now: Instant) -> float:
        """Return the fraction of all requests to refuse."""
        if not self.is_active(now):
            return 0.0
        window = self._policy.window
        offered = self._offered.rate(now) * window
        accepted = max(0.0, offered - self._refused.rate(now) * window)
        excess = offered - self._ratio * accepted
        return max(0.0, excess) / (offered + 1.0)

    def _class_part_to_refuse(
        self,
        demand_class: DemandClass,
        demands: demand.DemandMeter,
        now: Instant,
    ) -> float:
        part = self.part_to_refuse(now)
        if part <= 0.0:
            return 0.0
        if now >= self._next_division_at:
            self._divide(demands, part, now)
        offered = self._offered_by_class.get(demand_class, 0.0)
        if offered <= 0.0:
            return 0.0
        return 1.0 - self._rates_by_class[demand_class] / offered

    def _divide(
        self, demands: demand.DemandMeter, part: float, now: Instant
    ) -> None:
        self._next_division_at = Instant(now + self._policy.period)
        measured = demands.demands(now)
        self._offered_by_class = {e.demand_class: e.offered for e in measured}
        accounts = {e.demand_class: e.accounts for e in measured}
        offered = sum(self._offered_by_class.values())
        self._rates_by_class = fairness.divide(
            self._offered_by_class,
            accounts,
            offered * (1.0 - part),
            self._policy.shares,
        ).rates_by_class
