"""Test that a replica holds prefixes of the texts despite lost writes."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs import partial_text
from yuccarill.core.jobs import text_copies


def text(item: str, events: int, run: int = 0) -> partial_text.PartialText:
    return partial_text.PartialText(
        item=ItemId(item),
        body_digest=b'b',
        scoring_digest=b's',
        parts=tuple(f'{run}.{number}' for number in range(events)),
        versions=(WeightVersion(1),),
    )


class CopiedTextsTest(unittest.TestCase):
    def setUp(self):
        self.copied = text_copies.CopiedTexts()

    def copy(self, *texts):
        changes = self.copied.changes(texts)
        for change in changes:
            self.copied.record_change(change)
        return [(c.first, len(c.text.parts)) for c in changes]

    def test_only_new_events_are_copied(self):
        self.assertEqual([(0, 3)], self.copy(text('a', 3)))
        self.assertEqual(
            [(3, 2), (0, 1)], self.copy(text('a', 5), text('b', 1))
        )
        self.assertEqual([], self.copy(text('a', 5), text('b', 1)))

    def test_a_restarted_text_is_copied_completely(self):
        self.copy(text('a', 3))
        self.assertEqual([(0, 4)], self.copy(text('a', 4, run=1)))

    def test_a_text_that_returns_is_copied_completely(self):
        self.copy(text('a', 3))
        self.copy()
        self.assertEqual([(0, 4)], self.copy(text('a', 4)))

    @params('forget', 'clear')
    def test_a_missing_text_is_copied_completely(self, how):
        self.copy(text('a', 3))
        if how == 'forget':
            self.copied.forget(ItemId('a'))
        else:
            self.copied.clear()
        self.assertEqual([(0, 4)], self.copy(text('a', 4)))


class ContinuedTest(unittest.TestCase):
    @params(
        ('no copy', None, 2, None),
        ('missing events in between', 1, 2, None),
        ('next events', 2, 2, 4),
        ('repeated change', 4, 2, 4),
        ('complete text without a copy', None, 0, 4),
    )
    def test_continued(self, _, known, first, expected):
        whole = text('a', 4)
        rest = partial_text.PartialText(
            item=whole.item,
            body_digest=whole.body_digest,
            scoring_digest=whole.scoring_digest,
            parts=whole.parts[first:],
            versions=whole.versions,
        )
        change = text_copies.TextChange(text=rest, first=first)
        before = None if known is None else text('a', known)
        found = text_copies.apply_change(before, change)
        self.assertEqual(expected, None if found is None else len(found.parts))
        if found is not None:
            self.assertEqual(whole.parts, found.parts)

    def test_replicas_with_lost_writes_hold_a_prefix(self):
        # Guards against a replica with events of two runs, or with a gap.
        draw = random.Random(3)
        for _ in range(200):
            self.play(draw)

    def play(self, draw):
        copied = text_copies.CopiedTexts()
        held, events, run = None, 0, 0
        for _ in range(20):
            events += draw.randrange(4)
            if draw.random() < 0.1:
                run, events = run + 1, 1
            for change in copied.changes([text('a', events, run)]):
                if draw.random() < 0.3:
                    continue
                copied.record_change(change)
                held = text_copies.apply_change(held, change)
                self.assertIsNotNone(held)
        if held is not None:
            runs = {part.partition('.')[0] for part in held.parts}
            numbers = [int(part.partition('.')[2]) for part in held.parts]
            self.assertLessEqual(len(runs), 1)
            self.assertEqual(list(range(len(numbers))), numbers)


class LongestTest(unittest.TestCase):
    def test_the_longest_copy_wins(self):
        found = text_copies.longest(
            [text('a', 3), text('b', 1)], [text('a', 5)], [text('a', 4)]
        )
        self.assertEqual([5, 1], [len(each.parts) for each in found])
