"""Test the expected remaining length of texts."""

from __future__ import annotations

import random
import unittest

import msgspec
from nose2.tools import params

from yuccarill.core.jobs.job import Item
from yuccarill.core.jobs import lengths

from . import items

TOKENS_PER_EVENT = 64


def item(hinted_events: int | None) -> Item:
    hint = None if hinted_events is None else hinted_events * TOKENS_PER_EVENT
    plain = items.make_job().items[0]
    return msgspec.structs.replace(plain, hinted_tokens=hint)


def learn(*ratios: float) -> lengths.TextLengths:
    found = lengths.TextLengths()
    for ratio in ratios:
        found.learn(items.MODEL, item(100), round(100 * ratio))
    return found


class RemainingTest(unittest.TestCase):
    @params(
        # Learned ratios, hinted events, events so far, remaining events.
        ('accurate hints', (1.0,), 50, 0, 50.0),
        ('half of the hints too low', (1.0, 2.0), 50, 0, 75.0),
        ('past the short samples', (1.0, 2.0), 50, 60, 40.0),
        ('at the longest sample', (1.0, 2.0), 50, 100, 25.0),
        ('past all samples', (1.0, 2.0), 50, 120, 30.0),
    )
    def test_remaining(self, _, ratios, hinted, made, expected):
        found = learn(*ratios).remaining(items.MODEL, item(hinted), made)
        self.assertAlmostEqual(expected, found)

    def test_hints_order_texts_without_samples(self):
        found = lengths.TextLengths()
        left = [found.remaining(items.MODEL, item(n), 0) for n in (5, 100)]
        self.assertLess(left[0], left[1])

    def test_texts_without_a_hint_have_their_own_samples(self):
        found = learn(1.0)
        found.learn(items.MODEL, item(None), 30)
        self.assertEqual(20, found.remaining(items.MODEL, item(None), 10))

    def test_estimates_follow_growing_texts(self):
        found = learn(*[1.0] * 300, *[3.0] * lengths.MAX_RATIOS)
        left = found.remaining(items.MODEL, item(10), 0)
        self.assertAlmostEqual(30.0, left)

    def test_estimates_are_accurate_on_average(self):
        # The hints have a lognormal error. The estimate matches the mean of
        # the texts that got as far.
        source = random.Random(7)
        found = lengths.TextLengths()
        for _ in range(lengths.MAX_RATIOS):
            found.learn(items.MODEL, item(40), _length(source, 40))
        later = [_length(source, 40) for _ in range(4000)]
        for made in (0, 30, 60):
            left = [length - made for length in later if length > made]
            expected = found.remaining(items.MODEL, item(40), made)
            self.assertAlmostEqual(
                1.0, expected / (sum(left) / len(left)), delta=0.15
            )


def _length(source: random.Random, hinted: int) -> int:
    return max(1, round(hinted * source.lognormvariate(0.0, 0.48)))
