"""Remember the runs that were given up while a target was at work on them."""

from __future__ import annotations

import collections
from typing import NamedTuple

from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

# Seconds for which a target may go on with a run that nobody waits for: as
# long as a run may be silent before it is given up.
ABANDONED_SECONDS = 2.0
# Runs that are kept.
MAX_ABANDONED = 1024
# Failed runs of one content that may be unsettled before it waits.
MAX_UNSETTLED = 2


class _AbandonedRun(NamedTuple):
    target: TargetId
    content: ContentDigest
    request: RequestId
    began_at: Instant
    until: Instant
    # Broken off for what its target sent, or did not send.
    is_failed: bool


class AbandonedRuns:
    """Hold the runs that targets may still be at work on."""

    def __init__(self) -> None:
        # In the order of their time.
        self._runs: collections.deque[_AbandonedRun] = collections.deque()
        self._failed: collections.Counter[ContentDigest] = (
            collections.Counter()
        )

    def note(
        self,
        target: TargetId,
        content: ContentDigest,
        request: RequestId,
        is_failed: bool,
        began_at: Instant,
        now: Instant,
    ) -> None:
        """Note a run of which no answer is awaited any more."""
        self._expire(now)
        if len(self._runs) >= MAX_ABANDONED:
            self._settle(self._runs.popleft())
        until = Instant(now + ABANDONED_SECONDS)
        self._runs.append(
            _AbandonedRun(target, content, request, began_at, until, is_failed)
        )
        self._failed[content] += is_failed

    def unsettled(self, content: ContentDigest, now: Instant) -> int:
        """Count the failed runs under which targets may yet end."""
        self._expire(now)
        return self._failed.get(content, 0)

    def take(
        self, target: TargetId, ended_at: Instant, now: Instant
    ) -> dict[ContentDigest, RequestId]:
        """Return and forget what a target was at work on as it ended."""
        self._expire(now)
        found = [run for run in self._runs if run.target == target]
        for run in found:
            self._runs.remove(run)
            self._settle(run)
        # One that began later met no process, or another one.
        return {
            run.content: run.request
            for run in found
            if run.began_at <= ended_at
        }

    def _expire(self, now: Instant) -> None:
        while self._runs and now >= self._runs[0].until:
            self._settle(self._runs.popleft())

    def _settle(self, run: _AbandonedRun) -> None:
        self._failed[run.content] -= run.is_failed
        if not self._failed[run.content]:
            del self._failed[run.content]
