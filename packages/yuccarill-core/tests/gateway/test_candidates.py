"""Test in which order instances take on common work."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import candidates
from yuccarill.core.gateway import watchers


class OrderedTest(unittest.TestCase):
    def test_stronger_instances_go_first(self) -> None:
        cores = {'a': 0.5, 'b': 2.15, 'c': 1.07, 'd': 0.6}
        found = candidates.ordered(cores, 'duty')
        self.assertEqual(['b', 'c'], found[:2])

    def test_small_differences_do_not_decide(self) -> None:
        cores = {f'n{number}': 1.0 + number / 100 for number in range(10)}
        first = {candidates.ordered(cores, f's{n}')[0] for n in range(20)}
        self.assertGreater(len(first), 3)

    def test_everybody_gets_the_same_order(self) -> None:
        cores = {f'n{number}': 1.0 for number in range(10)}
        turned = dict(reversed(cores.items()))
        self.assertEqual(
            candidates.ordered(cores, 'x'), candidates.ordered(turned, 'x')
        )


class WatchersTest(unittest.TestCase):
    @params((1, 1), (6, 2), (32, 2), (60, 4), (410, 26))
    def test_count(self, instances: int, expected: int) -> None:
        cores = {f'n{number}': 1.0 for number in range(instances)}
        self.assertEqual(expected, len(watchers.watchers(cores)))
