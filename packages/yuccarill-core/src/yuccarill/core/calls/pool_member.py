"""Track one target of a pool."""

from __future__ import annotations

import math

from yuccarill.core.calls.load import TargetLoad
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

_LATENCY_SMOOTHING = 0.2
_MAX_SLOWNESS = 20.0


class Member:
    """Track one target's load, latency and failures."""

    __slots__ = (
        'ejections',
        'group',
        'id',
        'latency',
        'load',
        'penalty',
        'group_index',
        'added_at',
        'failures',
    )

    def __init__(self, target: TargetId, penalty: float) -> None:
        self.id = target
        self.penalty = penalty
        self.load = TargetLoad()
        self.latency = 0.0
        self.failures = 0
        self.ejections = 0
        self.added_at = Instant(-math.inf)
        self.group: list[Member] | None = None
        self.group_index = 0

    def cost(self, now: Instant, mean_others: float, latency: float) -> float:
        """Return the cost of one more call, in equivalent queued calls.

        `mean_others` and `latency` are means over all targets.
        """
        slowness = 1.0
        if self.latency and latency:
            # Latency below the mean does not reduce the cost: one short
            # call would attract all calls until the next answer.
            slowness = max(slowness, self.latency / latency)
            slowness = min(slowness, _MAX_SLOWNESS)
        load = self.load.estimate(now, mean_others)
        return (load + 1.0) * slowness + self.penalty


def update_average(average: float, value: float) -> float:
    """Return the exponential moving average after a new value."""
    if not average:
        return value
    return average + _LATENCY_SMOOTHING * (value - average)
