"""Configure a capacity gate."""

from __future__ import annotations

import msgspec

from yuccarill.core.capacity import congestion
from yuccarill.core.capacity import demand
from yuccarill.core.capacity import lanes
from yuccarill.core.capacity import local_throttle
from yuccarill.core.capacity import second_attempts


class GatePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure a capacity gate and its parts."""

    demand: demand.DemandPolicy = demand.DemandPolicy()
    signs: congestion.CongestionPolicy = congestion.CongestionPolicy()
    throttle: local_throttle.ThrottlePolicy = local_throttle.ThrottlePolicy()
    lanes: lanes.LanePolicy = lanes.LanePolicy()
    second: second_attempts.SecondPolicy = second_attempts.SecondPolicy()
    # Multiple of the mean service time allowed for an answer to be in time.
    margin: float = 2.0
    # Maximum retry delay in seconds without a broker's grant.
    local_retry: float = 0.3
    min_retry: float = 0.05
    # Fraction of a caller's remaining time within which it should retry.
    retry_part: float = 1.0 / 3.0
