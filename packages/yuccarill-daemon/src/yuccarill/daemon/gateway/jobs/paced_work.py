"""Limit frequently requested work to a fraction of the loop's time."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of the event loop's time that the work can use.
TIME_FRACTION = 0.2
# Shorter pauses are skipped.
MIN_PAUSE_SECONDS = 0.005


class PacedWork:
    """Run work on request, combining requests that arrive in a pause."""

    def __init__(self, work: Callable[[], None], clock: Any) -> None:
        self._work = work
        self._clock = clock
        self._timer: Any = None
        self._ended_at = -math.inf
        self._seconds = 0.0

    def request(self) -> None:
        """Run the work now, or as soon as its time fraction allows."""
        if self._timer is not None and self._timer.active():
            return
        pause = self._seconds * (1.0 / TIME_FRACTION - 1.0)
        remaining = self._ended_at + pause - self._clock.seconds()
        if remaining <= MIN_PAUSE_SECONDS:
            self._run_work()
        else:
            self._timer = self._clock.callLater(remaining, self._run_work)

    def stop(self) -> None:
        """Cancel the scheduled run of the work."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _run_work(self) -> None:
        began_at = self._clock.seconds()
        try:
            self._work()
        finally:
            self._ended_at = self._clock.seconds()
            self._seconds = self._ended_at - began_at
