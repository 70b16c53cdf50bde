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


class LocalCountsTest(unittest.TestCase):
    def test_a_reported_window_is_closed(self) -> None:
        local = counts.LocalCounts()
        self.assertTrue(local.add(W, A))
        local.close(W)
        self.assertFalse(local.add(W, A))
        self.assertTrue(local.add(NEXT, A))
        self.assertEqual({NEXT: {A: 1}}, local.counts_by_window)

    def test_unreported_windows_are_bounded(self) -> None:
        local = counts.LocalCounts()
        for window in range(counts.MAX_WINDOWS + 3):
            local.add(WindowNumber(window), A)
        self.assertEqual(3, local.drop_excess())
        self.assertEqual(counts.MAX_WINDOWS, len(local.counts_by_window))


class UsageTotalsTest(unittest.TestCase):
    def test_repeated_and_reordered_messages(self) -> None:
        totals = counts.UsageTotals()
        source = Incarnation('s')
        self.assertTrue(totals.merge_source(source, {W: {A: 2}}))
        self.assertFalse(totals.merge_source(source, {W: {A: 2}}))
        self.assertFalse(totals.merge_source(source, {W: {A: 1}}))
        self.assertEqual({A: 2}, totals.totals(W))

    def test_a_restarted_process_adds_to_its_predecessor(self) -> None:
        totals = counts.UsageTotals()
        totals.merge_source(Incarnation('s1'), {W: {A: 2}})
        totals.merge_source(Incarnation('s2'), {W: {A: 1}})
        self.assertEqual({A: 3}, totals.totals(W))

    def test_a_change_of_holder_keeps_the_counts(self) -> None:
        """Guards against counts lost or doubled by a change of holder.

        Messages are lost, repeated and reordered; each new holder loads the
        counts that its predecessor stored.
        """
        for seed in range(50):
            draw = random.Random(seed)
            processes = [counts.LocalCounts() for _ in range(10)]
            totals = counts.UsageTotals()
            in_flight: list = []
            for _ in range(300):
                number = draw.randrange(10)
                processes[number].add(W, AccountName(draw.choice('abc')))
                copied = {W: dict(processes[number].counts_by_window[W])}
                in_flight.append((Incarnation(f's{number}'), copied))
                draw.shuffle(in_flight)
                if draw.random() < 0.5:
                    totals.merge_source(*in_flight.pop())
                if draw.random() < 0.02:
                    successor = counts.UsageTotals()
                    successor.merge(totals.sources_by_window)
                    totals = successor
            for number, local in enumerate(processes):
                if local.counts_by_window:
                    totals.merge_source(
                        Incarnation(f's{number}'), local.counts_by_window
                    )
            self.assertEqual(300, sum(totals.totals(W).values()))
