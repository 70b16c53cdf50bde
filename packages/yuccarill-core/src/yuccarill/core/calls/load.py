"""Estimate a target's load from reports that lag."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.ids import Instant

# Seconds after which half of what a report says of others' calls is taken
# to have changed.
HALF_LIFE = 2.0
HEADER = 'Yuccarill-Load'


class LoadReport(msgspec.Struct, frozen=True):
    """Hold what a target says of itself."""

    in_flight: int
    queued: int

    @property
    def total(self) -> int:
        return self.in_flight + self.queued


def parse(text: str) -> LoadReport | None:
    """Read a report as replies carry it, or none if it is not valid."""
    in_flight, _, queued = text.partition(',')
    if not (in_flight.isdecimal() and queued.isdecimal()):
        return None
    return LoadReport(int(in_flight), int(queued))


class TargetLoad:
    """Track the calls that one target has."""

    def __init__(self) -> None:
        self.own = 0
        self._others = 0.0
        self._reported_at = Instant(-math.inf)

    def report(self, report: LoadReport, now: Instant) -> float:
        """Take a report, which counts this instance's calls too.

        Returns the calls of other instances.
        """
        self._others = float(max(0, report.total - self.own))
        self._reported_at = now
        return self._others

    def estimate(self, now: Instant, usual: float = 0.0) -> float:
        """Return the calls that the target probably has.

        `usual` is what other instances usually have at a target.
        """
        # Own calls are known at once. Without them all instances would
        # send to the target that last said it was idle, until it says
        # otherwise. An old report says no more than the usual.
        part: float = 0.5 ** ((now - self._reported_at) / HALF_LIFE)
        return self.own + part * self._others + (1.0 - part) * usual
