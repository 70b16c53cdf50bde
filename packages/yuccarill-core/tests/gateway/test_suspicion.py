"""Test which requests are taken for the cause of targets that ended."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import suspicion
from yuccarill.core.gateway.suspicion import Verdict

CLEAR = Verdict.CLEAR
WATCHED = Verdict.WATCHED
SUSPECT = Verdict.SUSPECT
QUARANTINED = Verdict.QUARANTINED


class JudgeTest(unittest.TestCase):
    # The contents at each end, a letter each, and what is thought of them.
    @params(
        # Nothing has ended.
        ((), {'x': CLEAR}),
        # One content is alone at each end.
        (('x',), {'x': WATCHED}),
        (('x', 'x'), {'x': SUSPECT}),
        (('x', 'x', 'x'), {'x': QUARANTINED}),
        # Others were beside it once, or twice.
        (('xa', 'xb', 'xc'), {'x': QUARANTINED, 'a': CLEAR, 'c': CLEAR}),
        (('xa', 'xa', 'x'), {'x': QUARANTINED, 'a': CLEAR}),
        (('xa', 'xa'), {'x': SUSPECT, 'a': SUSPECT}),
        # One beside it each time is as likely, until one comes again.
        (('xa', 'xa', 'xa'), {'x': SUSPECT, 'a': SUSPECT}),
        (('xa', 'xa', 'xa', 'x'), {'x': QUARANTINED, 'a': CLEAR}),
        (('xa',) * 5, {'x': QUARANTINED, 'a': QUARANTINED}),
        # One that is sent often is at many ends, of which others explain some.
        (('xp', 'xp', 'xp', 'p'), {'p': QUARANTINED, 'x': CLEAR}),
        (('xp', 'xp', 'x', 'xp', 'x'), {'x': QUARANTINED, 'p': CLEAR}),
        # As many ends of each without the other: one more tells.
        (('xp', 'xp', 'x', 'xp', 'p'), {'x': SUSPECT, 'p': SUSPECT}),
        (('xp', 'xp', 'x', 'xp', 'p', 'x'), {'x': QUARANTINED, 'p': WATCHED}),
        # Two causes, each at its own ends.
        (
            ('x', 'y', 'x', 'y', 'x', 'y'),
            {'x': QUARANTINED, 'y': QUARANTINED},
        ),
        # An end that two share counts for one of them, not known which.
        (('x', 'xy', 'x', 'y', 'y'), {'x': SUSPECT, 'y': SUSPECT}),
        (('x', 'xy', 'x', 'y', 'y', 'x'), {'x': QUARANTINED, 'y': SUSPECT}),
        # Targets that end in turn of something else, under what runs there.
        (('ab', 'cd', 'ef', 'gh'), dict.fromkeys('abcdefgh', WATCHED)),
        (('ab', 'bc', 'cd'), {'b': SUSPECT, 'a': WATCHED, 'd': WATCHED}),
    )
    def test_verdicts(
        self, ends: tuple[str, ...], expected: dict[str, Verdict]
    ) -> None:
        found = suspicion.judge([frozenset(end) for end in ends])
        self.assertEqual(expected, {c: found.verdict(c) for c in expected})

    # The ends, the moment of each, and what is thought of the contents.
    @params(
        # Two attempts of one request, side by side, in a moment in which all
        # targets ended: one chance, not two.
        (('x', 'x', 'x'), (0, 0, 1), {'x': SUSPECT}),
        (('x', 'x'), (0, 0), {'x': WATCHED}),
        (('x', 'x', 'x', 'x'), (0, 0, 1, 2), {'x': QUARANTINED}),
        (('x', 'x', 'x'), (0, 1, 2), {'x': QUARANTINED}),
        # Another one beside it in as many moments is as likely the cause.
        (('xa', 'x', 'xa', 'xa'), (0, 0, 1, 2), {'x': SUSPECT, 'a': SUSPECT}),
    )
    def test_ends_of_one_moment_count_once(
        self,
        ends: tuple[str, ...],
        moments: tuple[int, ...],
        expected: dict[str, Verdict],
    ) -> None:
        found = suspicion.judge(
            [frozenset(end) for end in ends],
            incidents=[
                dict.fromkeys(end, moment)
                for end, moment in zip(ends, moments, strict=True)
            ],
        )
        self.assertEqual(expected, {c: found.verdict(c) for c in expected})

    def test_what_is_quarantined_already_explains_its_ends(self) -> None:
        ends = [frozenset('xa'), frozenset('xa'), frozenset('xa')]
        found = suspicion.judge(ends, quarantined=['x'])
        self.assertEqual(QUARANTINED, found.verdict('x'))
        self.assertEqual(CLEAR, found.verdict('a'))
