"""Measure the demand for a service's slots."""

from __future__ import annotations

import collections
from typing import NamedTuple

from yuccarill.core.ids import Instant


class WorkSample(NamedTuple):
    """Hold the load at one time."""

    at: Instant
    # Slots in use.
    busy: int
    # Requests that wait for a slot.
    waiting: int


class WorkMeasure:
    """Average the demand for slots over a sliding window."""

    def __init__(self, window_seconds: float, idle_seconds: float) -> None:
        self._window = window_seconds
        self._idle = idle_seconds
        self._samples: collections.deque[WorkSample] = collections.deque()
        self._first_at: Instant | None = None
        # Time from which the samples are representative.
        self._since: Instant | None = None

    def add(self, sample: WorkSample) -> None:
        """Add a sample and drop those before the window."""
        if self._first_at is None:
            self._first_at = sample.at
        self._samples.append(sample)
        while self._samples[0].at < sample.at - self._window:
            self._samples.popleft()
        has_work = sample.busy > 0 or sample.waiting > 0
        # Samples before the first work count only after `idle_seconds`.
        has_timed_out = sample.at - self._first_at >= self._idle
        if self._since is None and (has_work or has_timed_out):
            self._since = sample.at

    def has_full_window(self, now: Instant) -> bool:
        """Return whether representative samples cover a whole window."""
        return self._since is not None and now - self._since >= self._window

    @property
    def demand(self) -> float:
        """Return the average number of slots in use or waited for."""
        if not self._samples:
            return 0.0
        total = sum(s.busy + s.waiting for s in self._samples)
        return total / len(self._samples)
