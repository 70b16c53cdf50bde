"""Test the division of a capacity."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.capacity import fairness
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.ids import AccountName

INTERNAL = fairness.INTERNAL_PRIORITY


class MaxMinTest(unittest.TestCase):
    @params(
        ({'a': 1.0, 'b': 2.0}, 6.0, {}, {'a': 1.0, 'b': 2.0}),
        ({'a': 1.0, 'b': 9.0, 'c': 9.0}, 7.0, {}, {'a': 1.0, 'b': 3.0}),
        ({'a': 9.0, 'b': 9.0}, 6.0, {'b': 2.0}, {'a': 2.0, 'b': 4.0}),
        ({'a': 9.0}, 0.0, {}, {'a': 0.0}),
        ({}, 6.0, {}, {}),
    )
    def test_parts(
        self,
        wanted: dict[str, float],
        amount: float,
        weights: dict[str, float],
        expected: dict[str, float],
    ) -> None:
        parts = fairness.max_min(wanted, amount, weights)
        for key, part in expected.items():
            self.assertAlmostEqual(part, parts[key])


class PriorityTest(unittest.TestCase):
    @params(
        # All demand is served within the capacity.
        ({0: 3.0, 5: 4.0}, 10.0, {0: 3.0, 5: 4.0}),
        # Urgent requests go first, except for the floor.
        ({0: 20.0, 5: 20.0}, 10.0, {0: 9.0, 5: 1.0}),
        # The unused part of a floor goes to urgent requests.
        ({0: 20.0, 5: 0.5}, 10.0, {0: 9.5, 5: 0.5}),
        # Internal calls go first, up to a fixed part.
        ({INTERNAL: 20.0, 5: 20.0}, 10.0, {INTERNAL: 2.0, 5: 8.0}),
        ({INTERNAL: 20.0}, 10.0, {INTERNAL: 10.0}),
    )
    def test_amounts(
        self,
        wanted: dict[int, float],
        capacity: float,
        expected: dict[int, float],
    ) -> None:
        policy = fairness.SharePolicy()
        found = fairness.divide_by_priority(wanted, capacity, policy)
        self.assertEqual(expected.keys(), found.keys())
        for priority, amount in expected.items():
            self.assertAlmostEqual(amount, found[priority])


class DivisionTest(unittest.TestCase):
    def test_combined_small_accounts_count_separately(self) -> None:
        """Guard against many small accounts that get the share of one."""
        rest = DemandClass(priority=5)
        large = DemandClass(priority=5, account=AccountName('large'))
        division = fairness.divide(
            {rest: 30.0, large: 30.0},
            {rest: 3},
            20.0,
            fairness.SharePolicy(least_part=0.0),
        )
        self.assertAlmostEqual(15.0, division.rates_by_class[rest])
        self.assertAlmostEqual(5.0, division.rates_by_class[large])
        self.assertAlmostEqual(5.0, division.levels_by_priority[5])

    def test_a_large_account_is_not_starved(self) -> None:
        """Guard against a large account that gets no more than a small one."""
        accounts = [AccountName(f'a{number}') for number in range(9)]
        wanted = {DemandClass(priority=5, account=a): 10.0 for a in accounts}
        large = DemandClass(priority=5, account=AccountName('large'))
        wanted[large] = 1000.0
        policy = fairness.SharePolicy()
        division = fairness.divide(wanted, {}, 100.0, policy)
        served = 100.0 / sum(wanted.values())
        self.assertGreaterEqual(
            division.rates_by_class[large],
            policy.least_part * served * wanted[large],
        )
