"""Limit the requests of each class to its lent rate."""

from __future__ import annotations

import collections
import itertools
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.capacity.overview import ClassOverview
from yuccarill.core.capacity import token_bucket
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    import random

    from yuccarill.core.capacity.gate import CapacityRequest
    from yuccarill.core.capacity.messages import CapacityGrant
    from yuccarill.core.capacity.messages import ClassDemand
    from yuccarill.core.capacity.messages import DemandClass


class LanePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the bursts and the number of lanes."""

    # Minimum burst, in requests.
    burst: float = 3.0
    # Seconds of the lent rate that may be sent at once.
    burst_seconds: float = 0.1
    # Minimum burst of an account within its share, in requests.
    level_burst: float = 3.0
    # Maximum number of lanes for accounts within their share.
    lanes: int = 256


class Lane(msgspec.Struct, kw_only=True, eq=False):
    """Store one class's rate limit and waiting requests."""

    bucket: token_bucket.RateBucket
    waiting: collections.deque[CapacityRequest]

    def wait_for_next(self, now: Instant) -> float:
        """Return the seconds that one more request would wait."""
        return self.bucket.seconds_until(len(self.waiting) + 1, now)


class Lanes:
    """Track the lanes of the current grant."""

    def __init__(self, policy: LanePolicy, generator: random.Random) -> None:
        self._policy = policy
        self._generator = generator
        self.lanes_by_class: dict[DemandClass, Lane] = {}
        self._level_lanes_by_class: dict[DemandClass, Lane] = {}
        self._levels_by_priority: dict[int, float] = {}
        self._parts_by_class: dict[DemandClass, float] = {}

    def apply_grant(
        self, grant: CapacityGrant, now: Instant
    ) -> list[CapacityRequest]:
        """Apply a new grant; return the waiting requests of removed lanes."""
        self._levels_by_priority = {
            each.priority: each.level for each in grant.levels
        }
        self._parts_by_class = {
            each.demand_class: each.part for each in grant.parts
        }
        previous = self.lanes_by_class
        self.lanes_by_class = {}
        for each in grant.grants:
            key = each.demand_class
            depth = self._depth(each.rate)
            lane = previous.pop(key, None)
            if lane is None:
                lane = self._new_lane(
                    each.rate, depth, self._draw_tokens(each.part), now
                )
            lane.bucket.set_rate(each.rate, depth, now)
            self.lanes_by_class[key] = lane
        removed = [*previous.values(), *self._level_lanes_by_class.values()]
        self._level_lanes_by_class.clear()
        return [each for lane in removed for each in lane.waiting]

    def find(self, demand_class: DemandClass, now: Instant) -> Lane | None:
        """Return the lane of a class, None if the class is unlimited."""
        lane = self.lanes_by_class.get(demand_class)
        if lane is None:
            lane = self._level_lanes_by_class.get(demand_class)
        if lane is not None:
            return lane
        shared = self._shared_lane(demand_class)
        if shared is not None:
            return shared
        if demand_class.priority not in self._levels_by_priority:
            return None
        if len(self._level_lanes_by_class) >= self._policy.lanes:
            self._remove_idle_lane()
        lane = self._new_level_lane(demand_class, now)
        self._level_lanes_by_class[demand_class] = lane
        return lane

    def is_capped(self, demand_class: DemandClass) -> bool:
        """Return whether a class requests more than it is lent."""
        return (
            demand_class in self.lanes_by_class
            or demand_class in self._parts_by_class
        )

    def draw_admission(self, demand_class: DemandClass) -> bool | None:
        """Return at random whether to send a request that has no lane.

        Returns None if its class has a lane or no limit.
        """
        part = self._parts_by_class.get(demand_class)
        if part is None or demand_class in self.lanes_by_class:
            return None
        return self._generator.random() < part

    def overview(
        self, demand: ClassDemand, refused: float, now: Instant
    ) -> ClassOverview:
        """Return the demand, lent rate and queue of a class."""
        key = demand.demand_class
        lane = self.lanes_by_class.get(key)
        wait = 0.0 if lane is None else lane.wait_for_next(now)
        return ClassOverview(
            priority=key.priority,
            account=key.account,
            offered=demand.offered,
            lent=None if lane is None else lane.bucket.rate,
            refused=refused,
            waiting=0 if lane is None else len(lane.waiting),
            predicted_wait=None if math.isinf(wait) else wait,
        )

    def iterate(self) -> itertools.chain[Lane]:
        """Return an iterator over all lanes."""
        return itertools.chain(
            self.lanes_by_class.values(), self._level_lanes_by_class.values()
        )

    def clear(self) -> list[CapacityRequest]:
        """Remove every lane and return the waiting requests."""
        waiting = [each for lane in self.iterate() for each in lane.waiting]
        self.lanes_by_class.clear()
        self._level_lanes_by_class.clear()
        self._levels_by_priority.clear()
        self._parts_by_class.clear()
        return waiting

    def _shared_lane(self, demand_class: DemandClass) -> Lane | None:
        if demand_class.account is None:
            return None
        for key, lane in self.lanes_by_class.items():
            if key.account is None and key.priority == demand_class.priority:
                return lane
        return None

    def _remove_idle_lane(self) -> None:
        for key, lane in self._level_lanes_by_class.items():
            if not lane.waiting:
                del self._level_lanes_by_class[key]
                return

    def _new_level_lane(self, demand_class: DemandClass, now: Instant) -> Lane:
        level = self._levels_by_priority.get(demand_class.priority, 0.0)
        burst = max(self._policy.level_burst, self._depth(level))
        return self._new_lane(level, burst, burst, now)

    def _draw_tokens(self, part: float) -> float:
        """Return random initial tokens, as in a lane in steady state.

        Most instances are lent less than one request per grant: with no token
        or one each, the fleet would at first send too little or too much.
        """
        has_one = self._generator.random() < part
        return self._generator.random() + has_one

    def _depth(self, rate: float) -> float:
        return max(self._policy.burst, rate * self._policy.burst_seconds)

    def _new_lane(
        self, rate: float, depth: float, tokens: float, now: Instant
    ) -> Lane:
        return Lane(
            bucket=token_bucket.RateBucket(rate, depth, tokens, now),
            waiting=collections.deque(),
        )
