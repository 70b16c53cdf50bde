"""Test when quarantined contents that have to be completed are tried."""

from __future__ import annotations

import collections
import unittest

from nose2.tools import params

from yuccarill.core.gateway import trials
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant

FIRST = trials.FIRST_TRIAL_SECONDS
CONTENTS = tuple(ContentDigest(f'c{number}') for number in range(12))
TARGETS = 6


class TrialsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.trials = trials.Trials()

    def quarantine(self, count: int, at: float = 0.0) -> None:
        for content in CONTENTS[:count]:
            self.trials.record_crashes(content, 3, Instant(at))

    def started(self, now: float, targets: int = TARGETS) -> list[str]:
        """Start all trials that may start and return their contents."""
        found = []
        for content in CONTENTS:
            if content in self.trials._pauses_by_content and (
                self.trials.may_start(content, targets, Instant(now))
            ):
                self.trials.start(content)
                found.append(content)
        return found

    def finish(self, content: str, now: float, *, is_completed: bool) -> None:
        self.trials.finish(ContentDigest(content), is_completed, Instant(now))

    # Seconds since the last crash, and whether a trial may start.
    @params((0.0, False), (FIRST - 0.01, False), (FIRST, True), (99.0, True))
    def test_the_first_trial_waits_for_a_pause(
        self, seconds: float, may_start: bool
    ) -> None:
        """Guard against trials within a burst of crashes."""
        self.quarantine(1, at=10.0)
        self.assertEqual(may_start, bool(self.started(10.0 + seconds)))

    def test_crashes_make_trials_rare(self) -> None:
        """Guard against a content that crashes one target after another."""
        self.quarantine(1)
        now, starts = 0.0, []
        while now < 120.0:
            if self.started(now):
                starts.append(now)
                self.finish('c0', now, is_completed=False)
                count = 3 + len(starts)
                self.trials.record_crashes(CONTENTS[0], count, Instant(now))
            now += 0.5
        self.assertEqual([3.0, 15.0, 45.0, 75.0, 105.0], starts)

    def test_completed_trials_raise_the_limit(self) -> None:
        """Guard against sound contents that wait for one another."""
        self.quarantine(12)
        counts, now = [], FIRST
        while found := self.started(now):
            counts.append(len(found))
            now += 1.0
            for content in found:
                self.finish(content, now, is_completed=True)
        self.assertEqual([1, 2, 3, 3, 3], counts)

    @params((1, 1), (2, 1), (3, 1), (8, 4))
    def test_trials_use_a_fraction_of_the_targets(
        self, targets: int, limit: int
    ) -> None:
        """Guard against trials that put all targets of a service at risk."""
        self.quarantine(12)
        self.trials._limit = 64
        self.assertEqual(limit, len(self.started(FIRST, targets)))

    def test_a_crash_pauses_the_trials_of_all_contents(self) -> None:
        """Guard against many contents that each crash a target."""
        self.quarantine(12)
        now, crashes = 0.0, []
        counts = collections.Counter(dict.fromkeys(CONTENTS, 3))
        while now < 60.0:
            for content in self.started(now):
                crashes.append(now)
                self.finish(content, now, is_completed=False)
                counts[content] += 1
                self.trials.record_crashes(
                    ContentDigest(content), counts[content], Instant(now)
                )
            now += 0.5
        self.assertEqual([3.0, 15.0, 45.0], crashes)

    def test_a_crash_that_is_confirmed_late_counts(self) -> None:
        """Guard against frequent trials at targets behind open ports."""
        self.quarantine(1)
        self.assertEqual(['c0'], self.started(FIRST))
        self.finish('c0', 3.5, is_completed=False)
        self.assertEqual([], self.started(6.4))
        self.trials.record_crashes(CONTENTS[0], 4, Instant(3.2))
        self.assertEqual([], self.started(15.1))
        self.assertEqual(['c0'], self.started(15.2))

    def test_released_contents_are_forgotten(self) -> None:
        """Guard against memory that grows with each quarantine."""
        self.quarantine(12)
        self.trials.retain({CONTENTS[1]})
        self.assertEqual({'c1'}, set(self.trials._pauses_by_content))
