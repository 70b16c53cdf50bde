"""Test which targets run suspected contents."""

from __future__ import annotations

import unittest

from yuccarill.core.gateway import suspect_runs
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import TargetId

X = ContentDigest('x')
P = ContentDigest('p')
T = TargetId('t')
U = TargetId('u')


class SuspectRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runs = suspect_runs.SuspectRuns()
        for target, content in ((T, X), (T, P), (U, P), (U, P)):
            self.runs.begin(target, content)

    def test_others_are_counted_by_target(self) -> None:
        self.assertEqual({T: 1, U: 1}, self.runs.other_counts_by_target(X))
        self.assertEqual({T: 1}, self.runs.other_counts_by_target(P))
        self.assertEqual(
            {T: 2, U: 1}, self.runs.other_counts_by_target(ContentDigest('q'))
        )

    def test_targets_with_a_content(self) -> None:
        self.assertEqual({T}, self.runs.targets_with({X}))
        self.assertEqual({T, U}, self.runs.targets_with({X, P}))
        self.assertEqual(frozenset(), self.runs.targets_with(set()))

    def test_a_content_is_running_until_its_last_run_finishes(self) -> None:
        self.runs.finish(T, P)
        self.runs.finish(U, P)
        self.assertTrue(self.runs.is_running(P))
        self.runs.finish(U, P)
        self.assertFalse(self.runs.is_running(P))
        self.assertEqual({}, self.runs.other_counts_by_target(X))
