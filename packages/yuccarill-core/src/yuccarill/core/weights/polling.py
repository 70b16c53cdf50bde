"""Decide which targets' states are read next."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.weights.tokens import TokenSchedule

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId

INTERVAL_SECONDS = 5.0
LONGEST_SECONDS = 60.0
# Bounds what polling costs an instance that holds many targets: they are
# then read less often each.
READS_PER_SECOND = 5.0
BURST_SECONDS = 0.25


@dataclasses.dataclass
class _Turn:
    due_at: Instant
    failures: int = 0
    is_running: bool = False


class PollSchedule:
    """Spread reads over time; read silent targets less and less often."""

    def __init__(self, now: Instant, rate: float = READS_PER_SECOND) -> None:
        self._tokens = TokenSchedule(rate, now, BURST_SECONDS)
        self._turns_by_id: dict[TargetId, _Turn] = {}

    def set_targets(self, targets: Iterable[TargetId], now: Instant) -> None:
        """Read these targets, new ones as soon as may be."""
        self._turns_by_id = {
            target: self._turns_by_id.get(target) or _Turn(now)
            for target in targets
        }

    def due(self, now: Instant) -> list[TargetId]:
        """Return the targets to read now, the longest due first."""
        ready = [
            (turn.due_at, target)
            for target, turn in self._turns_by_id.items()
            if turn.due_at <= now and not turn.is_running
        ]
        chosen = []
        for _, target in sorted(ready):
            if not self._tokens.take(now):
                break
            self._turns_by_id[target].is_running = True
            chosen.append(target)
        return chosen

    def done(self, target: TargetId, is_reachable: bool, now: Instant) -> None:
        """Note that a read ended."""
        turn = self._turns_by_id.get(target)
        if turn is None:
            return
        turn.is_running = False
        turn.failures = 0 if is_reachable else turn.failures + 1
        backoff = INTERVAL_SECONDS * 2.0 ** min(turn.failures, 8)
        turn.due_at = Instant(now + min(LONGEST_SECONDS, backoff))
