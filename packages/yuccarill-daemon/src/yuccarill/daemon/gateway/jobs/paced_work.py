"""Do work that is asked for often with a part of the loop's time."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Part of the loop's time that the work gets.
TIME_PART = 0.2
# Seconds of a pause that is not worth a timer.
MIN_PAUSE = 0.005


class PacedWork:
    """Do some work soon, once for all that ask for it meanwhile."""

    def __init__(self, work: Callable[[], None], clock: Any) -> None:
        self._work = work
        self._clock = clock
        self._timer: Any = None
        self._ended_at = -math.inf
        self._seconds = 0.0

    def ask(self) -> None:
        """Do the work now, or as soon as its part of the time allows."""
        if self._timer is not None and self._timer.active():
            return
        pause = self._seconds * (1.0 / TIME_PART - 1.0)
        left = self._ended_at + pause - self._clock.seconds()
        if left <= MIN_PAUSE:
            self._do()
        else:
            self._timer = self._clock.callLater(left, self._do)

    def stop(self) -> None:
        """Do nothing more that was asked for."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _do(self) -> None:
        began_at = self._clock.seconds()
        try:
            self._work()
        finally:
            self._ended_at = self._clock.seconds()
            self._seconds = self._ended_at - began_at
