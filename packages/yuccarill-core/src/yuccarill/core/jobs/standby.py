"""Decide when a standby goes on with a lost holder's texts."""

from __future__ import annotations

import math

from yuccarill.core.ids import Instant

# Seconds without a word of the holder, which speaks each 0.5 s, after which
# it is taken for lost: two of its messages may be late. Machines that turn
# slow or freeze for a moment are heard again before that.
SILENT_SECONDS = 1.2
# Seconds after the store's return for which a standby goes on where nobody
# takes the duty: the holder's lease of 2.5 s ends, and a successor is there.
# Less than the platform gives an instance that was cut off to be reached by
# all others again, so a holder that was only cut off never runs beside it.
RETURN_SECONDS = 2.8


class StandbyWatch:
    """Follow the signs by which a standby runs, for one service.

    It runs only while the store was found away after the holder fell silent.
    While the store is there, a lease decides who runs: a holder that is cut
    off from its standby alone goes on, and both would send one text to two
    engines. While it is away nobody can take the duty, and what the holder
    had under way would wait for its return and the end of a lease: 9.5 s, in
    one of two runs in which the store was away for 10 s.
    """

    def __init__(self) -> None:
        self._heard_at = Instant(-math.inf)
        self._missed_at: Instant | None = None
        self._returned_at: Instant | None = None

    def heard(self, now: Instant) -> None:
        """Note a word of the holder."""
        self._heard_at = now
        self._missed_at = None
        self._returned_at = None

    def is_silent(self, now: Instant) -> bool:
        """Tell whether the holder is taken for lost."""
        return now >= self._heard_at + SILENT_SECONDS

    def looked(self, is_reached: bool, now: Instant) -> None:
        """Note whether the store answered, asked after the holder's last."""
        if not is_reached:
            self._missed_at = now
            self._returned_at = None
        elif self._missed_at is not None and self._returned_at is None:
            self._returned_at = now

    def may_run(self, now: Instant) -> bool:
        """Tell whether the standby goes on with the texts now."""
        if self._missed_at is None or not self.is_silent(now):
            return False
        if self._returned_at is None:
            return True
        return now < self._returned_at + RETURN_SECONDS
