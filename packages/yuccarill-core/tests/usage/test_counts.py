"""Test that requests are counted once despite repeated messages."""

from __future__ import annotations

import random
import unittest

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import WindowNumber
from yuccarill.core.usage import counts

A = AccountName('a')
W = WindowNumber(7)
NEXT = WindowNumber(8)


class OwnCountsTest(unittest.TestCase):
    def test_a_reported_window_is_closed(self) -> None:
        own = counts.LocalCounts()
        self.assertTrue(own.add(W, A))
        own.close(W)
        self.assertFalse(own.add(W, A))
        self.assertTrue(own.add(NEXT, A))
        self.assertEqual({NEXT: {A: 1}}, own.counts_by_window)

    def test_unreported_windows_are_bounded(self) -> None:
        own = counts.LocalCounts()
        for window in range(counts.MAX_WINDOWS + 3):
            own.add(WindowNumber(window), A)
        self.assertEqual(3, own.drop_excess())
        self.assertEqual(counts.MAX_WINDOWS, len(own.counts_by_window))


class UsageBookTest(unittest.TestCase):
    def test_repeated_and_reordered_messages(self) -> None:
        book = counts.UsageTotals()
        source = Incarnation('s')
        self.assertTrue(book.merge_source(source, {W: {A: 2}}))
        self.assertFalse(book.merge_source(source, {W: {A: 2}}))
        self.assertFalse(book.merge_source(source, {W: {A: 1}}))
        self.assertEqual({A: 2}, book.totals(W))

    def test_a_restarted_process_adds_to_its_predecessor(self) -> None:
        book = counts.UsageTotals()
        book.merge_source(Incarnation('s1'), {W: {A: 2}})
        book.merge_source(Incarnation('s2'), {W: {A: 1}})
        self.assertEqual({A: 3}, book.totals(W))

    def test_a_change_of_holder_keeps_the_counts(self) -> None:
        """Guards against counts lost or doubled by a change of holder.

        Messages are lost, repeated and reordered; each new holder loads the
        counts that its predecessor stored.
        """
        for seed in range(50):
            draw = random.Random(seed)
            processes = [counts.LocalCounts() for _ in range(10)]
            book = counts.UsageTotals()
            in_flight: list = []
            for _ in range(300):
                number = draw.randrange(10)
                processes[number].add(W, AccountName(draw.choice('abc')))
                copied = {W: dict(processes[number].counts_by_window[W])}
                in_flight.append((Incarnation(f's{number}'), copied))
                draw.shuffle(in_flight)
                if draw.random() < 0.5:
                    book.merge_source(*in_flight.pop())
                if draw.random() < 0.02:
                    successor = counts.UsageTotals()
                    successor.merge(book.sources_by_window)
                    book = successor
            for number, own in enumerate(processes):
                if own.counts_by_window:
                    book.merge_source(
                        Incarnation(f's{number}'), own.counts_by_window
                    )
            self.assertEqual(300, sum(book.totals(W).values()))
