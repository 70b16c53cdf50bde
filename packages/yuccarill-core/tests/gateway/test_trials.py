"""Test when quarantined contents that have to be completed are tried."""

from __future__ import annotations

import collections
import unittest

from nose2.tools import params

from yuccarill.core.gateway import trials
from yuccarill.core.gateway.trials import TrialEnd
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

    def finish(self, content: str, now: float, end: TrialEnd) -> None:
        self.trials.finish(ContentDigest(content), end, Instant(now))

    # Seconds since the last crash, and whether a trial may start.
    @params((0.0, False), (FIRST - 0.01, False), (FIRST, True), (99.0, True))
    def test_the_first_trial_waits_for_a_pause(
        self, seconds: float, may_start: bool
    ) -> None:
        """Guard against trials within a burst of crashes."""
        self.quarantine(1, at=10.0)
        self.assertEqual(may_start, bool(self.started(10.0 + seconds)))

    def test_trials_after_crashes_are_rare_but_go_on(self) -> None:
        """Guard against a target lost at each moment, and a lost item.

        An owed item may not wait for 5 s in the calm that begins 3 s after a
        crash.
        """
        self.quarantine(1)
        now, starts = 0.0, []
        while now < 120.0:
            if self.started(now):
                starts.append(now)
                self.finish('c0', now, TrialEnd.BROKEN)
                count = 3 + len(starts)
                self.trials.record_crashes(CONTENTS[0], count, Instant(now))
            now += 0.5
        self.assertEqual([3.0 + 7.0 * each for each in range(17)], starts)

    def test_a_trial_that_did_not_run_is_repeated(self) -> None:
        """Guard against a pause although nothing was tried."""
        self.quarantine(1)
        self.assertEqual(['c0'], self.started(FIRST))
        self.finish('c0', FIRST, TrialEnd.NOT_RUN)
        self.assertEqual(['c0'], self.started(FIRST))
        self.finish('c0', FIRST, TrialEnd.BROKEN)
        self.assertEqual([], self.started(2.0 * FIRST - 0.01))
        self.assertEqual(['c0'], self.started(2.0 * FIRST))

    # Contents, and targets of the service.
    @params((2, 6), (12, 6), (12, 1), (3, 2))
    def test_no_content_waits_long_for_others(
        self, count: int, targets: int
    ) -> None:
        """Guard against sound items that lie until their step is lost."""
        self.quarantine(count)
        self.assertEqual(['c0'], self.started(FIRST, targets))
        self.assertEqual([], self.started(6.99, targets))
        self.assertEqual(list(CONTENTS[1:count]), self.started(7.0, targets))

    def test_a_crash_of_another_does_not_delay_an_overdue_content(
        self,
    ) -> None:
        """Guard against sound items that wait for each crash of another."""
        self.quarantine(2)
        self.assertEqual(['c0'], self.started(FIRST))
        self.finish('c0', 6.0, TrialEnd.BROKEN)
        self.trials.record_crashes(CONTENTS[0], 4, Instant(6.0))
        self.assertEqual([], self.started(6.99))
        self.assertEqual(['c1'], self.started(7.0))

    def test_completed_trials_raise_the_limit(self) -> None:
        """Guard against sound contents that wait for one another."""
        self.quarantine(12)
        counts, now = [], FIRST
        while found := self.started(now):
            counts.append(len(found))
            now += 1.0
            for content in found:
                self.finish(content, now, TrialEnd.COMPLETED)
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
        """Guard against many contents that each crash a target.

        They are tried together where they waited long enough, so that one
        target ends under all of them.
        """
        self.quarantine(12)
        now, crashes = 0.0, []
        counts = collections.Counter(dict.fromkeys(CONTENTS, 3))
        while now < 60.0:
            for content in self.started(now):
                if now not in crashes:
                    crashes.append(now)
                self.finish(content, now, TrialEnd.BROKEN)
                counts[content] += 1
                self.trials.record_crashes(
                    ContentDigest(content), counts[content], Instant(now)
                )
            now += 0.5
        # The first content alone, then it and the others, 7 s apart each.
        alone = [3.0 + 7.0 * each for each in range(9)]
        together = [7.0 * each for each in range(1, 9)]
        self.assertEqual(sorted(alone + together), crashes)

    def test_a_crash_that_is_confirmed_late_counts(self) -> None:
        """Guard against frequent trials at targets behind open ports."""
        self.quarantine(1)
        self.assertEqual(['c0'], self.started(FIRST))
        self.finish('c0', 3.5, TrialEnd.BROKEN)
        self.assertEqual([], self.started(6.4))
        self.trials.record_crashes(CONTENTS[0], 4, Instant(3.2))
        self.assertEqual([], self.started(10.1))
        self.assertEqual(['c0'], self.started(10.2))

    def test_released_contents_are_forgotten(self) -> None:
        """Guard against memory that grows with each quarantine."""
        self.quarantine(12)
        self.trials.retain({CONTENTS[1]})
        self.assertEqual({'c1'}, set(self.trials._pauses_by_content))
