"""Estimate a target's load from delayed reports."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core import decoding
from yuccarill.core.ids import Instant

# Half-life in seconds of the weight of a load report.
HALF_LIFE = 2.0
HEADER = 'Yuccarill-Load'


class LoadReport(msgspec.Struct, frozen=True):
    """Store the load that a target reports."""

    in_flight: int
    queued: int

    @property
    def total(self) -> int:
        return self.in_flight + self.queued


def parse(text: str) -> LoadReport | None:
    """Parse the header of a load report; return None if invalid."""
    first, _, second = text.partition(',')
    in_flight = decoding.parse_decimal(first)
    queued = decoding.parse_decimal(second)
    if in_flight is None or queued is None:
        return None
    return LoadReport(in_flight, queued)


class TargetLoad:
    """Track the calls of this and other instances at one target."""

    def __init__(self) -> None:
        self.own = 0
        self._others = 0.0
        self._reported_at = Instant(-math.inf)

    def record_report(self, report: LoadReport, now: Instant) -> float:
        """Record a report and return the number of other instances' calls.

        The report includes this instance's calls.
        """
        self._others = float(max(0, report.total - self.own))
        self._reported_at = now
        return self._others

    def estimate(self, now: Instant, mean_others: float = 0.0) -> float:
        """Return the estimated number of calls at the target.

        `mean_others` is the mean number of other instances' calls at a target.
        """
        # If own calls were not counted, every instance would send all calls
        # to the target that last reported no load, until the next report.
        # The estimate decays from the last report to the mean.
        weight: float = 0.5 ** ((now - self._reported_at) / HALF_LIFE)
        return self.own + weight * self._others + (1.0 - weight) * mean_others
