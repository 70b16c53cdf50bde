"""Test how the text of an item is assembled over several runs."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import text as text_module
from yuccarill.core.jobs.text import StreamEvent


def event(number: int | None, version: int | None = None) -> StreamEvent:
    return StreamEvent(
        number=number,
        data=f'd{number}',
        version=None if version is None else WeightVersion(version),
    )


class ItemTextTest(unittest.TestCase):
    def text(self) -> text_module.ItemText:
        found = text_module.ItemText()
        found.begin_run(WeightVersion(3))
        return found

    @params(None, 0, 2, 3)
    def test_first_event_must_be_the_first(self, number: int | None) -> None:
        with self.assertRaises(text_module.TextSequenceError):
            self.text().add_event(event(number))

    def test_a_repeated_event_is_refused(self) -> None:
        found = self.text()
        found.add_event(event(1))
        with self.assertRaises(text_module.TextSequenceError):
            found.add_event(event(1))
        self.assertEqual('d1', found.text)

    def test_versions_are_those_of_the_events(self) -> None:
        found = self.text()
        found.add_event(event(1))
        found.add_event(event(2, version=4))
        found.add_event(event(3))
        self.assertEqual((3, 4), found.versions)

    def test_a_run_without_events_adds_no_version(self) -> None:
        found = self.text()
        found.begin_run(WeightVersion(9))
        found.add_event(event(1))
        self.assertEqual((9,), found.versions)

    def test_unknown_weights_are_refused(self) -> None:
        found = text_module.ItemText()
        found.begin_run(None)
        with self.assertRaises(text_module.TextSequenceError):
            found.add_event(event(1))

    @params(
        (3, False, True),
        (4, False, False),
        (3, True, False),
    )
    def test_versions_that_a_job_accepts(
        self, min_version: int, is_single: bool, expected: bool
    ) -> None:
        found = self.text()
        found.add_event(event(1))
        found.add_event(event(2, version=4))
        fits = found.fits(WeightVersion(min_version), is_single)
        self.assertEqual(expected, fits)

    def test_interrupted_runs_give_the_complete_text(self) -> None:
        """Compare with one run that is never interrupted."""
        draw = random.Random(5)
        for _ in range(200):
            count = draw.randint(1, 40)
            naive = '\n'.join(f'd{n}' for n in range(1, count + 1))
            found = text_module.ItemText()
            while found.events < count:
                found.begin_run(WeightVersion(draw.randint(1, 3)))
                last = draw.randint(found.events, count)
                for number in range(found.events + 1, last + 1):
                    found.add_event(event(number))
            self.assertEqual(naive, found.text)

    # Characters of each event.
    @params(0, 1000)
    def test_a_text_that_never_ends(self, count: int) -> None:
        """Guard against a text that takes all memory."""
        found = text_module.ItemText()
        found.begin_run(WeightVersion(1))
        with self.assertRaises(text_module.TextTooLong):
            for number in range(1, text_module.MAX_TEXT_BYTES):
                found.add_event(StreamEvent(number=number, data='a' * count))
        self.assertLess(len(found.text), text_module.MAX_TEXT_BYTES)
        found.clear()
        found.begin_run(WeightVersion(1))
        found.add_event(StreamEvent(number=1, data='a'))
        self.assertEqual('a', found.text)
