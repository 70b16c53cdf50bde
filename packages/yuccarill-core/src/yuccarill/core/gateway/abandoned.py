"""Track abandoned runs that a target may still be executing."""

from __future__ import annotations

import collections
from typing import NamedTuple

from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

# Seconds for which a target may keep executing an abandoned run; equals the
# silence after which a run is abandoned.
ABANDONED_SECONDS = 2.0
MAX_ABANDONED_RUNS = 1024
# Unexpired failed runs of one content from which on it gets no new attempt.
MAX_FAILED_RUNS = 2


class _AbandonedRun(NamedTuple):
    target: TargetId
    content: ContentDigest
    request: RequestId
    began_at: Instant
    until: Instant
    # Abandoned because the target sent an invalid response or none.
    is_failed: bool


class AbandonedRuns:
    """Hold the abandoned runs that targets may still be executing."""

    def __init__(self) -> None:
        # Ordered by expiry time.
        self._runs: collections.deque[_AbandonedRun] = collections.deque()
        self._failed_by_content: collections.Counter[ContentDigest] = (
            collections.Counter()
        )

    def add(
        self,
        target: TargetId,
        content: ContentDigest,
        request: RequestId,
        is_failed: bool,
        began_at: Instant,
        now: Instant,
    ) -> None:
        """Record a run whose response is no longer awaited."""
        self._expire(now)
        if len(self._runs) >= MAX_ABANDONED_RUNS:
            self._decrement_failed_count(self._runs.popleft())
        until = Instant(now + ABANDONED_SECONDS)
        self._runs.append(
            _AbandonedRun(target, content, request, began_at, until, is_failed)
        )
        self._failed_by_content[content] += is_failed

    def failed_run_count(self, content: ContentDigest, now: Instant) -> int:
        """Return the number of unexpired failed runs of a content."""
        self._expire(now)
        return self._failed_by_content.get(content, 0)

    def pop_running_at(
        self, target: TargetId, ended_at: Instant, now: Instant
    ) -> dict[ContentDigest, RequestId]:
        """Remove a target's runs; return those under way when it exited."""
        self._expire(now)
        found = [run for run in self._runs if run.target == target]
        for run in found:
            self._runs.remove(run)
            self._decrement_failed_count(run)
        # A run that began after the exit never reached the exited process.
        return {
            run.content: run.request
            for run in found
            if run.began_at <= ended_at
        }

    def _expire(self, now: Instant) -> None:
        while self._runs and now >= self._runs[0].until:
            self._decrement_failed_count(self._runs.popleft())

    def _decrement_failed_count(self, run: _AbandonedRun) -> None:
        self._failed_by_content[run.content] -= run.is_failed
        if not self._failed_by_content[run.content]:
            del self._failed_by_content[run.content]
