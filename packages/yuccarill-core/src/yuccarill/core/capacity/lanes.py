"""Keep the requests of each class to the rate that it was lent."""

from __future__ import annotations

import collections
import itertools
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.capacity import bucket
from yuccarill.core.capacity.overview import ClassOverview
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    import random

    from yuccarill.core.capacity.gate import CapacityRequest
    from yuccarill.core.capacity.messages import CapacityGrant
    from yuccarill.core.capacity.messages import ClassDemand
    from yuccarill.core.capacity.messages import DemandClass


class LanePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set the bursts that are let through."""

    burst: float = 3.0
    # Seconds of a rate that may be sent at once.
    burst_seconds: float = 0.1
    # The same for accounts that ask for less than their part.
    level_burst: float = 3.0
    # Lanes of accounts that ask for less than their part.
    lanes: int = 256


class Lane(msgspec.Struct, kw_only=True, eq=False):
    """Hold one class's rate and the requests that wait for it."""

    bucket: bucket.RateBucket
    waiting: collections.deque[CapacityRequest]

    def wait_for_next(self, now: Instant) -> float:
        """Return the seconds that one more request would wait."""
        return self.bucket.seconds_until(len(self.waiting) + 1, now)


class Lanes:
    """Hold the lanes of the grant in force."""

    def __init__(self, policy: LanePolicy, generator: random.Random) -> None:
        self._policy = policy
        self._generator = generator
        self.lanes_by_class: dict[DemandClass, Lane] = {}
        self._open_by_class: dict[DemandClass, Lane] = {}
        self._levels_by_priority: dict[int, float] = {}
        self._parts_by_class: dict[DemandClass, float] = {}

    def take(
        self, grant: CapacityGrant, now: Instant
    ) -> list[CapacityRequest]:
        """Go by a new grant; return what waited in lanes that are gone."""
        self._levels_by_priority = {
            each.priority: each.level for each in grant.levels
        }
        self._parts_by_class = {
            each.demand_class: each.part for each in grant.parts
        }
        before = self.lanes_by_class
        self.lanes_by_class = {}
        for each in grant.grants:
            key = each.demand_class
            depth = self._depth(each.rate)
            lane = before.pop(key, None)
            if lane is None:
                lane = self._lane(
                    each.rate, depth, self._tokens(each.part), now
                )
            lane.bucket.set_rate(each.rate, depth, now)
            self.lanes_by_class[key] = lane
        gone = [*before.values(), *self._open_by_class.values()]
        self._open_by_class.clear()
        return [each for lane in gone for each in lane.waiting]

    def find(self, demand_class: DemandClass, now: Instant) -> Lane | None:
        """Return the lane of a class, none if nothing bounds it."""
        lane = self.lanes_by_class.get(demand_class)
        if lane is None:
            lane = self._open_by_class.get(demand_class)
        if lane is not None:
            return lane
        rest = self._rest(demand_class)
        if rest is not None:
            return rest
        if demand_class.priority not in self._levels_by_priority:
            return None
        if len(self._open_by_class) >= self._policy.lanes:
            self._drop_one()
        lane = self._open(demand_class, now)
        self._open_by_class[demand_class] = lane
        return lane

    def is_short(self, demand_class: DemandClass) -> bool:
        """Tell whether a class asks for more than it is lent."""
        return (
            demand_class in self.lanes_by_class
            or demand_class in self._parts_by_class
        )

    def is_drawn(self, demand_class: DemandClass) -> bool | None:
        """Draw whether to send a request of a class that has no lane.

        None where the class may send all that it asks for.
        """
        part = self._parts_by_class.get(demand_class)
        if part is None or demand_class in self.lanes_by_class:
            return None
        return self._generator.random() < part

    def overview(
        self, asked: ClassDemand, refused: float, now: Instant
    ) -> ClassOverview:
        """Return what a class asks for, gets and waits for."""
        key = asked.demand_class
        lane = self.lanes_by_class.get(key)
        wait = 0.0 if lane is None else lane.wait_for_next(now)
        return ClassOverview(
            priority=key.priority,
            account=key.account,
            offered=asked.offered,
            lent=None if lane is None else lane.bucket.rate,
            refused=refused,
            waiting=0 if lane is None else len(lane.waiting),
            predicted_wait=None if math.isinf(wait) else wait,
        )

    def all(self) -> itertools.chain[Lane]:
        """Return every lane that may hold waiting requests."""
        return itertools.chain(
            self.lanes_by_class.values(), self._open_by_class.values()
        )

    def clear(self) -> list[CapacityRequest]:
        """Forget every lane and return what waited."""
        waiting = [each for lane in self.all() for each in lane.waiting]
        self.lanes_by_class.clear()
        self._open_by_class.clear()
        self._levels_by_priority.clear()
        self._parts_by_class.clear()
        return waiting

    def _rest(self, demand_class: DemandClass) -> Lane | None:
        if demand_class.account is None:
            return None
        for key, lane in self.lanes_by_class.items():
            if key.account is None and key.priority == demand_class.priority:
                return lane
        return None

    def _drop_one(self) -> None:
        for key, lane in self._open_by_class.items():
            if not lane.waiting:
                del self._open_by_class[key]
                return

    def _open(self, demand_class: DemandClass, now: Instant) -> Lane:
        level = self._levels_by_priority.get(demand_class.priority, 0.0)
        burst = max(self._policy.level_burst, self._depth(level))
        return self._lane(level, burst, burst, now)

    def _tokens(self, part: float) -> float:
        """Draw what a lane holds that has long been in use.

        Most instances are lent less than a request in a grant's time: with
        nothing, or all with one, the fleet would send too little or too
        much at first.
        """
        has_one = self._generator.random() < part
        return self._generator.random() + has_one

    def _depth(self, rate: float) -> float:
        return max(self._policy.burst, rate * self._policy.burst_seconds)

    def _lane(
        self, rate: float, depth: float, tokens: float, now: Instant
    ) -> Lane:
        return Lane(
            bucket=bucket.RateBucket(rate, depth, tokens, now),
            waiting=collections.deque(),
        )
