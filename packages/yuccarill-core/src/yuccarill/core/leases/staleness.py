"""Tell a session that stopped from a store or a reader that did."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.core.leases.policy import LeasePolicy


class Staleness:
    """Time for how long a session's record was read unchanged."""

    def __init__(self, policy: LeasePolicy) -> None:
        self._policy = policy
        self._version = 0
        self._since: Instant | None = None
        self._last = Instant(0.0)
        self._is_unchanged = False

    def observe(self, version: int, now: Instant) -> None:
        """Take the version that a read found, when its reply came."""
        # After an outage of the store, every record is old because nobody
        # could renew. Counting across it would revoke all sessions at once
        # as soon as the store answers; only a time of good reads counts.
        has_gap = now - self._last > self._policy.time_to_live
        self._is_unchanged = self._since is not None
        self._is_unchanged = self._is_unchanged and version == self._version
        if not self._is_unchanged or has_gap:
            self._since = now
        self._version = version
        self._last = now

    def fail(self) -> None:
        """Start over since a read failed."""
        self._since = None
        self._is_unchanged = False

    def is_stale(self) -> bool:
        """Tell whether the session may be revoked at the version read."""
        # The first read found a renewal that had been sent before its
        # reply came here, so the holder's deadline has passed as well,
        # whatever the delays, by the margins that allow for clock drift.
        revocable_at = self._revocable_at()
        return revocable_at is not None and self._last >= revocable_at

    def next_read(self, now: Instant, pace: float = 1.0) -> Instant:
        """Return when to read again; the pace counts renewal periods."""
        # A record that did not change over a whole wait missed a renewal.
        if self._is_unchanged:
            pace = 1.0
        regular = Instant(now + pace * self._policy.renewal_period)
        revocable_at = self._revocable_at()
        if revocable_at is None or revocable_at <= now:
            return regular
        return min(regular, revocable_at)

    def _revocable_at(self) -> Instant | None:
        if self._since is None:
            return None
        return Instant(self._since + self._policy.revocation_time)
