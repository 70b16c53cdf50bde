"""Measure how much work a service's targets are asked for."""

from __future__ import annotations

import collections
from typing import NamedTuple

from yuccarill.core.ids import Instant


class WorkSample(NamedTuple):
    """Hold what was seen at one moment."""

    at: Instant
    # Places in use.
    busy: int
    # Requests that wait for a place.
    waiting: int


class WorkMeasure:
    """Average the places that were wanted over the last seconds."""

    def __init__(self, window_seconds: float, idle_seconds: float) -> None:
        self._window = window_seconds
        self._idle = idle_seconds
        self._samples: collections.deque[WorkSample] = collections.deque()
        self._first_at: Instant | None = None
        # Since when the samples tell of work that comes as usual.
        self._since: Instant | None = None

    def add(self, sample: WorkSample) -> None:
        """Take what is seen now."""
        if self._first_at is None:
            self._first_at = sample.at
        self._samples.append(sample)
        while self._samples[0].at < sample.at - self._window:
            self._samples.popleft()
        has_work = sample.busy > 0 or sample.waiting > 0
        # Before the first work nothing is known of what will come.
        is_idle = sample.at - self._first_at >= self._idle
        if self._since is None and (has_work or is_idle):
            self._since = sample.at

    def is_whole(self, now: Instant) -> bool:
        """Tell whether the measure covers a whole window of work."""
        return self._since is not None and now - self._since >= self._window

    @property
    def wanted(self) -> float:
        """Return the places that were wanted on the average."""
        if not self._samples:
            return 0.0
        total = sum(s.busy + s.waiting for s in self._samples)
        return total / len(self._samples)
