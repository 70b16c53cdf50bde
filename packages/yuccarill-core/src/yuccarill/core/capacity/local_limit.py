"""Refuse at an instance what targets would refuse, while nobody lends."""

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
    """Set how far an instance goes beyond what targets accept."""

    # Requests sent for each one that targets accepted.
    ratio: float = 1.3
    # The same while answers come later than they are wanted.
    late_ratio: float = 0.7
    # Seconds over which requests are counted.
    window: float = 1.0
    # Refusals within the window that one target may cause by itself, as when
    # it is being stopped.
    min_refused: float = 1.5
    # Seconds between two divisions among accounts.
    period: float = 0.05
    shares: fairness.SharePolicy = fairness.SharePolicy()


class LocalThrottle:
    """Refuse at random the part that targets can't take.

    It falls on the classes that ask this instance for most. Source: Beyer
    and others, Site Reliability Engineering, 2016, chapter 21, client-side
    throttling. It needs no whole place an instance.
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
        self._divides_at = now
        self._ratio = policy.ratio

    def note(self, now: Instant) -> None:
        """Count a request that is sent on, or refused elsewhere."""
        self._offered.note(now)

    def offer(
        self,
        demand_class: DemandClass,
        demands: demand.DemandMeter,
        is_late: bool,
        now: Instant,
    ) -> bool:
        """Count a request; tell whether it is sent on."""
        self._offered.note(now)
        self._ratio = self._policy.ratio
        if is_late:
            self._ratio = self._policy.late_ratio
        part = self._part(demand_class, demands, now)
        if part > 0.0 and self._generator.random() < part:
            # Refused here, so that no target could accept it.
            self._refused.note(now)
            return False
        return True

    def refused(self, now: Instant) -> None:
        """Learn that a target had no room for a request."""
        self._refused.note(now)

    def is_bounding(self, now: Instant) -> bool:
        """Tell whether targets refuse more than one of them would."""
        refused = self._refused.rate(now) * self._policy.window
        return refused >= self._policy.min_refused

    def refused_part(self, now: Instant) -> float:
        """Return the part of all requests to refuse."""
        if not self.is_bounding(now):
            return 0.0
        window = self._policy.window
        offered = self._offered.rate(now) * window
        accepted = max(0.0, offered - self._refused.rate(now) * window)
        beyond = offered - self._ratio * accepted
        return max(0.0, beyond) / (offered + 1.0)

    def _part(
        self,
        demand_class: DemandClass,
        demands: demand.DemandMeter,
        now: Instant,
    ) -> float:
        part = self.refused_part(now)
        if part <= 0.0:
            return 0.0
        if now >= self._divides_at:
            self._divide(demands, part, now)
        offered = self._offered_by_class.get(demand_class, 0.0)
        if offered <= 0.0:
            return 0.0
        return 1.0 - self._rates_by_class[demand_class] / offered

    def _divide(
        self, demands: demand.DemandMeter, part: float, now: Instant
    ) -> None:
        self._divides_at = Instant(now + self._policy.period)
        found = demands.demands(now)
        self._offered_by_class = {e.demand_class: e.offered for e in found}
        accounts = {e.demand_class: e.accounts for e in found}
        offered = sum(self._offered_by_class.values())
        self._rates_by_class = fairness.divide(
            self._offered_by_class,
            accounts,
            offered * (1.0 - part),
            self._policy.shares,
        ).rates_by_class
