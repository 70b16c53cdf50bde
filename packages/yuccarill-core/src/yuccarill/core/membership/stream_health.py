"""Tell a silent stream from a quiet one."""

from __future__ import annotations

import dataclasses
import enum

from yuccarill.core.ids import Instant


class HealthAction(enum.Enum):
    """Say what a check of a stream asks for."""

    NONE = 'none'
    HEARTBEAT = 'heartbeat'
    CLOSE = 'close'


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthPolicy:
    """Bound in seconds how long a stream may be silent."""

    # Silence while a reply is due, before a heartbeat is sent.
    due_silence: float = 0.5
    # Silence while nothing is due, before a heartbeat is sent.
    idle_silence: float = 15.0
    # Silence after a heartbeat, before the stream counts as lost.
    answer_limit: float = 3.0


class StreamHealth:
    """Track one stream's last sign of progress."""

    def __init__(self, policy: HealthPolicy, now: Instant) -> None:
        self._policy = policy
        self._progress_at = now
        self._close_at: Instant | None = None

    def on_progress(self, now: Instant) -> None:
        """Note bytes that came, or a write buffer that was drained."""
        self._progress_at = now
        self._close_at = None

    def check(self, now: Instant, due_since: Instant | None) -> HealthAction:
        """Choose what to do, given since when a reply is due, if any."""
        if self._close_at is not None:
            # A slow target is no silent stream: the peer answers the
            # heartbeat at once while the request still runs there. Only
            # a stream on which nothing comes back at all is closed.
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
