"""Schedule of reads of targets' states."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.weights.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId

INTERVAL_SECONDS = 5.0
MAX_INTERVAL_SECONDS = 60.0
# Bounds the cost of polling for an instance that holds many targets.
READS_PER_SECOND = 5.0
BURST_SECONDS = 0.25


@dataclasses.dataclass
class _PollState:
    due_at: Instant
    failures: int = 0
    is_running: bool = False


class PollSchedule:
    """Spread reads over time; back off from unreachable targets."""

    def __init__(self, now: Instant, rate: float = READS_PER_SECOND) -> None:
        self._tokens = TokenBucket(rate, now, BURST_SECONDS)
        self._states_by_id: dict[TargetId, _PollState] = {}

    def set_targets(self, targets: Iterable[TargetId], now: Instant) -> None:
        """Replace the targets; new ones are due at once."""
        self._states_by_id = {
            target: self._states_by_id.get(target) or _PollState(now)
            for target in targets
        }

    def due(self, now: Instant) -> list[TargetId]:
        """Return the targets to read now, the longest due first."""
        ready = [
            (state.due_at, target)
            for target, state in self._states_by_id.items()
            if state.due_at <= now and not state.is_running
        ]
        chosen = []
        for _, target in sorted(ready):
            if not self._tokens.try_consume(now):
                break
            self._states_by_id[target].is_running = True
            chosen.append(target)
        return chosen

    def finish(
        self, target: TargetId, is_reachable: bool, now: Instant
    ) -> None:
        """Record the end of a read and schedule the next one."""
        state = self._states_by_id.get(target)
        if state is None:
            return
        state.is_running = False
        state.failures = 0 if is_reachable else state.failures + 1
        backoff = INTERVAL_SECONDS * 2.0 ** min(state.failures, 8)
        state.due_at = Instant(now + min(MAX_INTERVAL_SECONDS, backoff))
