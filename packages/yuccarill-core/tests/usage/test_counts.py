"""Test that requests are counted once, whoever tells of them how often."""

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
    def test_a_window_that_is_reported_takes_no_more(self) -> None:
        own = counts.OwnCounts()
        self.assertTrue(own.add(W, A))
        own.close(W)
        self.assertFalse(own.add(W, A))
        self.assertTrue(own.add(NEXT, A))
        self.assertEqual({NEXT: {A: 1}}, own.counts_by_window)

    def test_what_nobody_reports_is_bounded(self) -> None:
        own = counts.OwnCounts()
        for window in range(counts.MAX_WINDOWS + 3):
            own.add(WindowNumber(window), A)
        self.assertEqual(3, own.shed())
        self.assertEqual(counts.MAX_WINDOWS, len(own.counts_by_window))


class UsageBookTest(unittest.TestCase):
    def test_messages_that_come_twice_or_out_of_order(self) -> None:
        book = counts.UsageBook()
        source = Incarnation('s')
        self.assertTrue(book.take(source, {W: {A: 2}}))
        self.assertFalse(book.take(source, {W: {A: 2}}))
        self.assertFalse(book.take(source, {W: {A: 1}}))
        self.assertEqual({A: 2}, book.totals(W))

    def test_a_process_that_started_again_adds_to_the_one_before(self) -> None:
        book = counts.UsageBook()
        book.take(Incarnation('s1'), {W: {A: 2}})
        book.take(Incarnation('s2'), {W: {A: 1}})
        self.assertEqual({A: 3}, book.totals(W))

    def test_holders_that_follow_each_other_count_the_same(self) -> None:
        """No count is lost or doubled by a change of holder.

        Ten processes count; messages are lost, doubled and overtaken, and
        the holder is replaced now and then by one that reads what the one
        before wrote and hears everybody anew.
        """
        for seed in range(50):
            draw = random.Random(seed)
            owns = [counts.OwnCounts() for _ in range(10)]
            book = counts.UsageBook()
            under_way: list = []
            for _ in range(300):
                number = draw.randrange(10)
                owns[number].add(W, AccountName(draw.choice('abc')))
                copied = {W: dict(owns[number].counts_by_window[W])}
                under_way.append((Incarnation(f's{number}'), copied))
                draw.shuffle(under_way)
                if draw.random() < 0.5:
                    book.take(*under_way.pop())
                if draw.random() < 0.02:
                    following = counts.UsageBook()
                    following.merge(book.sources_by_window)
                    book = following
            for number, own in enumerate(owns):
                if own.counts_by_window:
                    book.take(Incarnation(f's{number}'), own.counts_by_window)
            self.assertEqual(300, sum(book.totals(W).values()))
