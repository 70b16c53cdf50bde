"""What is known of one target that calls may be sent to."""

from __future__ import annotations

import math

from yuccarill.core.calls.load import TargetLoad
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

_LATENCY_PART = 0.2
_MAX_SLOWNESS = 20.0


class Member:
    """Hold one target's load, latency and failures."""

    __slots__ = (
        'ejections',
        'group',
        'id',
        'latency',
        'load',
        'penalty',
        'position',
        'started_at',
        'weight',
    )

    def __init__(self, target: TargetId, penalty: float) -> None:
        self.id = target
        self.penalty = penalty
        self.load = TargetLoad()
        self.latency = 0.0
        self.weight = 0
        self.ejections = 0
        self.started_at = Instant(-math.inf)
        self.group: list[Member] | None = None
        self.position = 0

    def cost(self, now: Instant, usual: float, latency: float) -> float:
        """Return what one more call costs here, in calls.

        `usual` and `latency` are those of all targets.
        """
        slowness = 1.0
        if self.latency and latency:
            # A target that once had a short call is no better for it, and
            # would draw calls until its next answer.
            slowness = max(slowness, self.latency / latency)
            slowness = min(slowness, _MAX_SLOWNESS)
        load = self.load.estimate(now, usual)
        return (load + 1.0) * slowness + self.penalty


def average(known: float, value: float) -> float:
    """Return an average that follows its last values."""
    if not known:
        return value
    return known + _LATENCY_PART * (value - known)
