"""Decide when contents that must be completed are tried again.

Targets crashed under these contents, so they are quarantined. Items of batch
jobs and their score requests must be completed all the same. A harmless one
that ran at several crashes is completed by its first trial. One that crashes
its targets costs one target per trial, and its trials become rare.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Container

# Seconds from the last crash under a content to its next trial; covers the
# restart of a target and most bursts of crashes.
FIRST_TRIAL_SECONDS = 3.0
# Factor and upper bound of the pause's growth after a crash during a trial. A
# sound content seldom runs at a further crash.
PAUSE_FACTOR = 4.0
MAX_TRIAL_SECONDS = 30.0
# Fraction of a service's targets that run trials concurrently at most.
MAX_TRIAL_FRACTION = 0.5


class _Pause(msgspec.Struct):
    """Hold the time of the next trial and the crashes during earlier ones."""

    until: Instant
    crashes: int = 0
    # Crashes under the content that are already counted.
    seen: int = 0

    def extend(self, crashed_at: Instant) -> None:
        """Lengthen the pause after a crash."""
        self.crashes += 1
        seconds = FIRST_TRIAL_SECONDS * PAUSE_FACTOR**self.crashes
        self.until = Instant(crashed_at + min(seconds, MAX_TRIAL_SECONDS))


class Trials:
    """Track the trials of one service.

    The number of concurrent trials is doubled when one completes, and falls to
    one when a target crashes, since the cause is then among those left.
    """

    def __init__(self) -> None:
        self._pauses_by_content: dict[ContentDigest, _Pause] = {}
        self._service_pause = _no_pause()
        self._running: set[ContentDigest] = set()
        self._limit = 1

    def record_crashes(
        self, content: ContentDigest, count: int, last_at: Instant
    ) -> None:
        """Record how often and when targets crashed under a content.

        Only crashes after the first call for a content count against it: those
        before led to its quarantine, and may have had another cause.
        """
        pause = self._pauses_by_content.get(content)
        if pause is None:
            until = Instant(last_at + FIRST_TRIAL_SECONDS)
            pause = self._pauses_by_content[content] = _Pause(until)
        elif count > pause.seen:
            pause.extend(last_at)
            self._service_pause.extend(last_at)
            self._limit = 1
        pause.seen = count

    def may_start(
        self, content: ContentDigest, targets: int, now: Instant
    ) -> bool:
        """Return whether a trial may start at one of a number of targets."""
        limit = min(self._limit, max(1, int(targets * MAX_TRIAL_FRACTION)))
        if content in self._running or len(self._running) >= limit:
            return False
        pause = self._pauses_by_content.get(content, self._service_pause)
        return now >= max(pause.until, self._service_pause.until)

    def crashes(self, content: ContentDigest) -> int:
        """Return how many targets crashed during trials of a content."""
        pause = self._pauses_by_content.get(content)
        return 0 if pause is None else pause.crashes

    def start(self, content: ContentDigest) -> None:
        """Record the start of a trial."""
        self._running.add(content)

    def finish(
        self, content: ContentDigest, is_completed: bool, now: Instant
    ) -> None:
        """Record the end of a trial."""
        self._running.discard(content)
        if is_completed:
            self._pauses_by_content.pop(content, None)
            self._service_pause = _no_pause()
            self._limit *= 2
            return
        pause = self._pauses_by_content.get(content)
        if pause is not None:
            # A crash behind an open port is known only seconds later.
            earliest = Instant(now + FIRST_TRIAL_SECONDS)
            pause.until = max(pause.until, earliest)

    def retain(self, contents: Container[ContentDigest]) -> None:
        """Forget all contents but those that are still quarantined."""
        for content in list(self._pauses_by_content):
            if content not in contents and content not in self._running:
                del self._pauses_by_content[content]


def _no_pause() -> _Pause:
    return _Pause(until=Instant(-math.inf))
