"""Test which contents are suspected as the cause of target crashes."""

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
    # Contents of each end, one letter each; expected verdicts.
    @params(
        # No end.
        ((), {'x': CLEAR}),
        # One content is alone at each end.
        (('x',), {'x': WATCHED}),
        (('x', 'x'), {'x': SUSPECT}),
        (('x', 'x', 'x'), {'x': QUARANTINED}),
        # Other contents are running at one or two of the ends.
        (('xa', 'xb', 'xc'), {'x': QUARANTINED, 'a': CLEAR, 'c': CLEAR}),
        (('xa', 'xa', 'x'), {'x': QUARANTINED, 'a': CLEAR}),
        (('xa', 'xa'), {'x': SUSPECT, 'a': SUSPECT}),
        # Two contents at the same ends are equally likely the cause.
        (('xa', 'xa', 'xa'), {'x': SUSPECT, 'a': SUSPECT}),
        (('xa', 'xa', 'xa', 'x'), {'x': QUARANTINED, 'a': CLEAR}),
        (('xa',) * 5, {'x': QUARANTINED, 'a': QUARANTINED}),
        # A frequent content is at many ends, some explained by others.
        (('xp', 'xp', 'xp', 'p'), {'p': QUARANTINED, 'x': CLEAR}),
        (('xp', 'xp', 'x', 'xp', 'x'), {'x': QUARANTINED, 'p': CLEAR}),
        # As many ends of each without the other: one more decides.
        (('xp', 'xp', 'x', 'xp', 'p'), {'x': SUSPECT, 'p': SUSPECT}),
        (('xp', 'xp', 'x', 'xp', 'p', 'x'), {'x': QUARANTINED, 'p': WATCHED}),
        # Two causes, each at its own ends.
        (
            ('x', 'y', 'x', 'y', 'x', 'y'),
            {'x': QUARANTINED, 'y': QUARANTINED},
        ),
        # A shared end counts for either of its contents, but not for both.
        (('x', 'xy', 'x', 'y', 'y'), {'x': SUSPECT, 'y': SUSPECT}),
        (('x', 'xy', 'x', 'y', 'y', 'x'), {'x': QUARANTINED, 'y': SUSPECT}),
        # Targets end for another reason while they run various contents.
        (('ab', 'cd', 'ef', 'gh'), dict.fromkeys('abcdefgh', WATCHED)),
        (('ab', 'bc', 'cd'), {'b': SUSPECT, 'a': WATCHED, 'd': WATCHED}),
    )
    def test_verdicts(
        self, ends: tuple[str, ...], expected: dict[str, Verdict]
    ) -> None:
        found = suspicion.judge([frozenset(end) for end in ends])
        self.assertEqual(expected, {c: found.verdict(c) for c in expected})

    # Contents of each end, incident of each end, expected verdicts.
    @params(
        # Two concurrent attempts of one request while all targets end: one
        # incident, not two.
        (('x', 'x', 'x'), (0, 0, 1), {'x': SUSPECT}),
        (('x', 'x'), (0, 0), {'x': WATCHED}),
        (('x', 'x', 'x', 'x'), (0, 0, 1, 2), {'x': QUARANTINED}),
        (('x', 'x', 'x'), (0, 1, 2), {'x': QUARANTINED}),
        # Contents at equally many incidents are equally likely the cause.
        (('xa', 'x', 'xa', 'xa'), (0, 0, 1, 2), {'x': SUSPECT, 'a': SUSPECT}),
    )
    def test_ends_of_one_incident_count_once(
        self,
        ends: tuple[str, ...],
        incidents: tuple[int, ...],
        expected: dict[str, Verdict],
    ) -> None:
        found = suspicion.judge(
            [frozenset(end) for end in ends],
            incidents=[
                dict.fromkeys(end, incident)
                for end, incident in zip(ends, incidents, strict=True)
            ],
        )
        self.assertEqual(expected, {c: found.verdict(c) for c in expected})

    def test_a_quarantined_content_explains_its_ends(self) -> None:
        ends = [frozenset('xa'), frozenset('xa'), frozenset('xa')]
        found = suspicion.judge(ends, quarantined=['x'])
        self.assertEqual(QUARANTINED, found.verdict('x'))
        self.assertEqual(CLEAR, found.verdict('a'))
