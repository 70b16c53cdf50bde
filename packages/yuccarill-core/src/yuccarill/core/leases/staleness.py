"""Detection of sessions that are no longer renewed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.core.leases.policy import LeasePolicy


class Staleness:
    """Measure how long a session's record has been unchanged."""

    def __init__(self, policy: LeasePolicy) -> None:
        self._policy = policy
        self._version = 0
        self._since: Instant | None = None
        self._last = Instant(0.0)
        self._is_unchanged = False

    def observe(self, version: int, now: Instant) -> None:
        """Record the version returned by a read, at the time of its reply."""
        # No session can be renewed during an outage of the store. Restarting
        # the time after a gap in reads keeps the first reads after the
        # outage from revoking all sessions.
        has_gap = now - self._last > self._policy.time_to_live
        self._is_unchanged = self._since is not None
        self._is_unchanged = self._is_unchanged and version == self._version
        if not self._is_unchanged or has_gap:
            self._since = now
        self._version = version
        self._last = now

    def fail(self) -> None:
        """Restart the measurement after a failed call."""
        self._since = None
        self._is_unchanged = False

    def is_stale(self) -> bool:
        """Return whether the session may be revoked at the version read."""
        # The last renewal was sent before the reply of the first read that
        # returned its version. The holder's deadline, which counts from the
        # sending, has therefore passed; drift_margin covers clock drift.
        revocable_at = self._revocable_at()
        return revocable_at is not None and self._last >= revocable_at

    def next_read(self, now: Instant, pace: float = 1.0) -> Instant:
        """Return when to read again; the pace is in renewal periods."""
        # An unchanged record may lack a renewal, so it is read sooner.
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
