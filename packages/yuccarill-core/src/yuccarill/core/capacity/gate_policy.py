"""Set how a gate decides."""

from __future__ import annotations

import msgspec

from yuccarill.core.capacity import congestion
from yuccarill.core.capacity import demand
from yuccarill.core.capacity import lanes
from yuccarill.core.capacity import local_limit
from yuccarill.core.capacity import second_attempts


class GatePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how a gate decides; its parts have policies of their own."""

    demand: demand.DemandPolicy = demand.DemandPolicy()
    signs: congestion.CongestionPolicy = congestion.CongestionPolicy()
    throttle: local_limit.ThrottlePolicy = local_limit.ThrottlePolicy()
    lanes: lanes.LanePolicy = lanes.LanePolicy()
    second: second_attempts.SecondPolicy = second_attempts.SecondPolicy()
    # Times the mean seconds of service that a request may take.
    margin: float = 2.0
    # Seconds after which refused callers may come back while nobody lends.
    local_retry: float = 0.3
    min_retry: float = 0.05
    # Part of a caller's time left within which it is to come back.
    retry_part: float = 1.0 / 3.0
