"""Decide when a standby resumes the texts of a lost leaseholder."""

from __future__ import annotations

import math

from yuccarill.core.ids import Instant

# Seconds without a message after which the holder counts as lost. The holder
# sends one each 0.5 s, so two may be late, such as during a short freeze.
SILENT_SECONDS = 1.2
# Seconds for which a standby runs on after the store has recovered: the lease
# of 2.5 s expires meanwhile, and a successor takes over. The time is shorter
# than the platform's grace for a partitioned instance, so a holder that was
# only partitioned never runs beside its standby.
RETURN_SECONDS = 2.8


class StandbyWatch:
    """Track the holder and the store of one service for its standby.

    The standby runs only while the store is unavailable after the holder has
    fallen silent, since nobody can acquire the lease then. While the store is
    available, the lease decides who runs: a holder that is partitioned only
    from its standby still runs, and both would run the same texts.
    """

    def __init__(self) -> None:
        self._last_heard_at = Instant(-math.inf)
        self._store_lost_at: Instant | None = None
        self._store_returned_at: Instant | None = None

    def record_heartbeat(self, now: Instant) -> None:
        """Record a message from the holder."""
        self._last_heard_at = now
        self._store_lost_at = None
        self._store_returned_at = None

    def is_silent(self, now: Instant) -> bool:
        """Return whether the holder counts as lost."""
        return now >= self._last_heard_at + SILENT_SECONDS

    def record_store_probe(self, is_reached: bool, now: Instant) -> None:
        """Record a probe of the store made after the last message."""
        if not is_reached:
            self._store_lost_at = now
            self._store_returned_at = None
        elif (
            self._store_lost_at is not None and self._store_returned_at is None
        ):
            self._store_returned_at = now

    def can_run(self, now: Instant) -> bool:
        """Return whether the standby may resume the texts now."""
        if self._store_lost_at is None or not self.is_silent(now):
            return False
        if self._store_returned_at is None:
            return True
        return now < self._store_returned_at + RETURN_SECONDS
