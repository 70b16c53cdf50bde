"""Detection of dead streams between instances by heartbeats."""

from __future__ import annotations

import dataclasses
import enum

from yuccarill.core.ids import Instant


class HealthAction(enum.Enum):
    """Action after a check of a stream."""

    NONE = 'none'
    HEARTBEAT = 'heartbeat'
    CLOSE = 'close'


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthPolicy:
    """Limits on the silence of a stream, in seconds."""

    # Silence before a heartbeat is sent, while a reply is due.
    due_silence: float = 0.5
    # Silence before a heartbeat is sent, while no reply is due.
    idle_silence: float = 15.0
    # Silence after a heartbeat before the stream is closed.
    answer_limit: float = 3.0


class StreamHealth:
    """Track one stream's last progress."""

    def __init__(self, policy: HealthPolicy, now: Instant) -> None:
        self._policy = policy
        self._progress_at = now
        self._close_at: Instant | None = None

    def on_progress(self, now: Instant) -> None:
        """Record received bytes or a drained write buffer."""
        self._progress_at = now
        self._close_at = None

    def check(self, now: Instant, due_since: Instant | None) -> HealthAction:
        """Return the action; due_since is None if no reply is due."""
        if self._close_at is not None:
            # A peer answers heartbeats even while a slow request runs, so
            # only a stream that returns nothing is closed.
            if now >= self._close_at:
                return HealthAction.CLOSE
            return HealthAction.NONE
        silence = self._policy.idle_silence
        quiet_since = self._progress_at
        if due_since is not None:
            silence = self._policy.due_silence
            quiet_since = max(quiet_since, due_since)
        if now - quiet_since < silence:
            return HealthAction.NONE
        self._close_at = Instant(now + self._policy.answer_limit)
        return HealthAction.HEARTBEAT
