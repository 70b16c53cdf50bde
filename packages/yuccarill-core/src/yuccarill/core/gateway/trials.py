"""Decide when contents that must be completed are tried again.

Targets crashed under these contents, so they are quarantined. Items of batch
jobs and their score requests must be completed all the same. A harmless one
that ran at several crashes is completed by its first trial. One that crashes
its targets costs one target per trial, so trials are limited, but each content
is tried again within MAX_WAIT_SECONDS.
"""

from __future__ import annotations

import enum
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
# Replaces FIRST_TRIAL_SECONDS after a crash during a trial.
LATER_TRIAL_SECONDS = 7.0
# Seconds for which a content waits for the trials and pauses of others. A
# trainer loses its step if an item waits for 5 s once the targets have been
# calm for 3 s.
MAX_WAIT_SECONDS = 7.0
# Fraction of a service's targets that run trials concurrently at most.
MAX_TRIAL_FRACTION = 0.5


class TrialEnd(enum.Enum):
    """Name the ways in which a trial ends."""

    COMPLETED = 'completed'
    # The target may have run the content.
    BROKEN = 'broken'
    # The target did not run the content, so nothing was tried.
    NOT_RUN = 'not run'


class _Pause(msgspec.Struct):
    """Hold the time of the next trial and the crashes during earlier ones."""

    until: Instant
    # Last crash, or end of the last trial.
    waiting_since: Instant = Instant(-math.inf)
    crashes: int = 0
    # Crashes under the content that are already counted.
    seen: int = 0

    def extend(self, crashed_at: Instant) -> None:
        """Lengthen the pause after a crash."""
        self.crashes += 1
        self.until = Instant(crashed_at + LATER_TRIAL_SECONDS)
        self.waiting_since = max(self.waiting_since, crashed_at)


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
            pause = _Pause(until, waiting_since=last_at)
            self._pauses_by_content[content] = pause
        elif count > pause.seen:
            pause.extend(last_at)
            self._service_pause.extend(last_at)
            self._limit = 1
        pause.seen = count

    def may_start(
        self, content: ContentDigest, targets: int, now: Instant
    ) -> bool:
        """Return whether a trial may start at one of a number of targets."""
        pause = self._pauses_by_content.get(content, self._service_pause)
        if content in self._running or now < pause.until:
            return False
        if self.is_overdue(content, now):
            return True
        limit = min(self._limit, max(1, int(targets * MAX_TRIAL_FRACTION)))
        return len(self._running) < limit and now >= self._service_pause.until

    def is_overdue(self, content: ContentDigest, now: Instant) -> bool:
        """Return whether a content no longer waits for other contents."""
        pause = self._pauses_by_content.get(content)
        return (
            pause is not None and now >= pause.waiting_since + MAX_WAIT_SECONDS
        )

    def crashes(self, content: ContentDigest) -> int:
        """Return how many targets crashed during trials of a content."""
        pause = self._pauses_by_content.get(content)
        return 0 if pause is None else pause.crashes

    def start(self, content: ContentDigest) -> None:
        """Record the start of a trial."""
        self._running.add(content)

    def finish(
        self, content: ContentDigest, end: TrialEnd, now: Instant
    ) -> None:
        """Record the end of a trial."""
        self._running.discard(content)
        match end:
            case TrialEnd.COMPLETED:
                self._pauses_by_content.pop(content, None)
                self._service_pause = _no_pause()
                self._limit *= 2
            case TrialEnd.BROKEN:
                pause = self._pauses_by_content.get(content)
                if pause is not None:
                    # A crash behind an open port is known only seconds later.
                    earliest = Instant(now + FIRST_TRIAL_SECONDS)
                    pause.until = max(pause.until, earliest)
                    pause.waiting_since = max(pause.waiting_since, now)
            case TrialEnd.NOT_RUN:
                pass

    def retain(self, contents: Container[ContentDigest]) -> None:
        """Forget all contents but those that are still quarantined."""
        for content in list(self._pauses_by_content):
            if content not in contents and content not in self._running:
                del self._pauses_by_content[content]


def _no_pause() -> _Pause:
    return _Pause(until=Instant(-math.inf))
