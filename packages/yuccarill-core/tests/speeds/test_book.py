"""Test that a lasting pace is told from moments and from a fault.

Paces are those of engines: an event each 40 ms, 0.6 to 1.6 times that for
good, 2.5 times in moments of 0.6 s, 2.2 times and more for seconds by a fault.
"""

from __future__ import annotations

import math
import random
import unittest

from nose2.tools import params

from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.speeds import book as book_module
from yuccarill.core.speeds.estimate import SpeedState

PACE = 0.04
E = TargetId('e')
SLOPE = 0.03


def feed(
    book: book_module.LogPaceBook,
    begins: float,
    ends: float,
    times: float = 1.0,
    target: TargetId = E,
    concurrent: int = 4,
    seed: int = 1,
) -> float:
    """Show the events of some runs concurrent each other; return the end."""
    draw = random.Random(seed)
    now = begins
    while now < ends:
        gap = PACE * times * (1.0 + SLOPE * concurrent)
        now += gap
        for _ in range(concurrent + 1):
            seconds = gap * draw.uniform(0.9, 1.1)
            book.saw(target, seconds, concurrent, Instant(now))
    return now


class LogPaceBookTest(unittest.TestCase):
    @params(0.6, 1.0, 1.6)
    def test_a_lasting_pace_is_known_within_a_second(
        self, times: float
    ) -> None:
        book = book_module.LogPaceBook()
        now = Instant(feed(book, 0.0, 1.0, times))
        found = book.pace(E, 4, now)
        expected = PACE * times * (1.0 + SLOPE * 4)
        self.assertAlmostEqual(math.log(expected), math.log(found.pace), 1)
        self.assertLess(found.deviation, 0.1)
        self.assertIs(SpeedState.USUAL, book.state(E, now))

    def test_a_moment_changes_nothing_that_lasts(self) -> None:
        book = book_module.LogPaceBook()
        now = feed(book, 0.0, 3.0)
        before = book.pace(E, 4, Instant(now)).pace
        now = feed(book, now, now + 0.6, 2.5)
        self.assertIs(SpeedState.USUAL, book.state(E, Instant(now)))
        now = feed(book, now, now + 0.3)
        after = book.pace(E, 4, Instant(now)).pace
        self.assertAlmostEqual(1.0, after / before, 1)

    def test_a_moment_makes_an_estimate_less_sure(self) -> None:
        book = book_module.LogPaceBook()
        now = feed(book, 0.0, 3.0)
        before = book.pace(E, 4, Instant(now)).deviation
        now = feed(book, now, now + 0.4, 2.5)
        found = book.pace(E, 4, Instant(now))
        self.assertGreater(found.deviation, 2.0 * before)

    @params(2.2, 4.0)
    def test_a_fault_shows_within_a_second(self, times: float) -> None:
        book = book_module.LogPaceBook()
        now = feed(book, 0.0, 3.0)
        usual = book.pace(E, 4, Instant(now)).pace
        now = feed(book, now, now + 1.0, times)
        self.assertIs(SpeedState.FAULTY, book.state(E, Instant(now)))
        found = book.pace(E, 4, Instant(now)).pace
        self.assertAlmostEqual(times, found / usual, delta=0.2 * times)
        # Its lasting pace is still known once the fault ends.
        now = feed(book, now, now + 0.3)
        self.assertIs(SpeedState.USUAL, book.state(E, Instant(now)))
        found = book.pace(E, 4, Instant(now)).pace
        self.assertAlmostEqual(1.0, found / usual, 1)

    def test_an_unseen_fault_is_tried_again(self) -> None:
        book = book_module.LogPaceBook()
        now = feed(book, 0.0, 3.0)
        now = feed(book, now, now + 1.0, 3.0)
        later = Instant(now + 10.0)
        self.assertIs(SpeedState.USUAL, book.state(E, later))

    def test_a_pace_that_gets_better_is_taken_soon(self) -> None:
        """Guards against a target first seen in its fault."""
        book = book_module.LogPaceBook()
        now = feed(book, 0.0, 3.0, 2.5)
        now = feed(book, now, now + 1.5)
        found = book.pace(E, 4, Instant(now)).pace
        expected = PACE * (1.0 + SLOPE * 4)
        self.assertAlmostEqual(1.0, found / expected, delta=0.1)

    def test_company_is_learnt_of_all_targets(self) -> None:
        book = book_module.LogPaceBook()
        now = 0.0
        for turn in range(60):
            for name in ('e', 'f', 'g'):
                feed(
                    book,
                    now,
                    now + 0.3,
                    target=TargetId(name),
                    concurrent=(0, 7, 15)[turn % 3],
                )
            now += 0.3
        self.assertAlmostEqual(SLOPE, book.slope, delta=0.3 * SLOPE)

    def test_an_unknown_target_is_like_the_others(self) -> None:
        book = book_module.LogPaceBook()
        now = Instant(0.0)
        for name, times in (('a', 0.6), ('b', 1.0), ('c', 1.6)):
            now = Instant(feed(book, 0.0, 2.0, times, TargetId(name)))
        found = book.pace(TargetId('new'), 4, now)
        expected = PACE * (1.0 + SLOPE * 4)
        self.assertAlmostEqual(1.0, found.pace / expected, delta=0.1)
        self.assertGreater(found.deviation, 0.3)
        self.assertIs(SpeedState.UNKNOWN, book.state(TargetId('new'), now))

    def test_a_new_start_is_forgotten(self) -> None:
        book = book_module.LogPaceBook()
        book.follow(E, TargetStart(started_at=1))
        now = Instant(feed(book, 0.0, 2.0))
        book.follow(E, TargetStart(started_at=1, heartbeats=3))
        self.assertIs(SpeedState.USUAL, book.state(E, now))
        book.follow(E, TargetStart(started_at=2))
        self.assertIs(SpeedState.UNKNOWN, book.state(E, now))

    def test_a_successor_knows_as_much(self) -> None:
        book = book_module.LogPaceBook()
        book.follow(E, TargetStart(started_at=1))
        now = Instant(feed(book, 0.0, 2.0, 1.6))
        # Another machine's clock.
        then = Instant(5000.0)
        successor = book_module.LogPaceBook()
        for record in book.records(now):
            successor.restore(record, then)
        successor.follow(E, TargetStart(started_at=1))
        known, found = book.pace(E, 0, now), successor.pace(E, 0, then)
        self.assertAlmostEqual(1.0, found.pace / known.pace, delta=0.1)

    def test_a_record_of_an_earlier_start_is_left_out(self) -> None:
        book = book_module.LogPaceBook()
        book.follow(E, TargetStart(started_at=1))
        now = Instant(feed(book, 0.0, 2.0, 1.6))
        successor = book_module.LogPaceBook()
        successor.follow(E, TargetStart(started_at=2))
        for record in book.records(now):
            successor.restore(record, now)
        self.assertIs(SpeedState.UNKNOWN, successor.state(E, now))

    def test_a_stale_estimate_is_less_sure(self) -> None:
        book = book_module.LogPaceBook()
        now = feed(book, 0.0, 2.0)
        soon = book.pace(E, 0, Instant(now)).deviation
        later = book.pace(E, 0, Instant(now + 60.0)).deviation
        self.assertGreater(later, soon)
