"""Test the ranking of instances for duties."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import candidates
from yuccarill.core.gateway import watchers
from yuccarill.core.ids import DataCentreId


class OrderedTest(unittest.TestCase):
    def test_instances_with_more_cores_come_first(self) -> None:
        cores = {'a': 0.5, 'b': 2.15, 'c': 1.07, 'd': 0.6}
        found = candidates.ordered(cores, 'duty')
        self.assertEqual(['b', 'c'], found[:2])

    def test_small_differences_do_not_matter(self) -> None:
        cores = {f'n{number}': 1.0 + number / 100 for number in range(10)}
        first = {candidates.ordered(cores, f's{n}')[0] for n in range(20)}
        self.assertGreater(len(first), 3)

    def test_the_order_is_deterministic(self) -> None:
        cores = {f'n{number}': 1.0 for number in range(10)}
        flipped = dict(reversed(cores.items()))
        self.assertEqual(
            candidates.ordered(cores, 'x'), candidates.ordered(flipped, 'x')
        )


class OrderedForPartTest(unittest.TestCase):
    PARTS = tuple(f's:{number}' for number in range(9))

    def orders(self, cores: dict[str, float]) -> list[list[str]]:
        return [
            candidates.ordered_for_part(cores, self.PARTS, part)
            for part in self.PARTS
        ]

    @params(9, 12, 60, 300)
    def test_no_two_parts_have_one_holder(self, instances: int) -> None:
        """Guards against an instance that is overloaded by two parts."""
        cores = {f'n{number}': 1.0 for number in range(instances)}
        first = {order[0] for order in self.orders(cores)}
        self.assertEqual(len(self.PARTS), len(first))

    def test_the_second_instance_of_a_part_is_first_in_none(self) -> None:
        cores = {f'n{number}': 1.0 for number in range(60)}
        orders = self.orders(cores)
        first = {order[0] for order in orders}
        for order in orders:
            self.assertNotIn(order[1], first)
            self.assertEqual(sorted(cores), sorted(order))

    def test_instances_with_more_cores_come_first(self) -> None:
        cores = {f'n{number}': 1.0 for number in range(60)}
        cores.update({f'strong{number}': 3.0 for number in range(6)})
        first = [order[0] for order in self.orders(cores)]
        strong = [name for name in first if name.startswith('strong')]
        self.assertEqual(6, len(strong))

    def test_fewer_instances_than_parts(self) -> None:
        orders = self.orders({'a': 1.0, 'b': 1.0})
        self.assertEqual({2}, {len(order) for order in orders})

    def test_a_single_part_keeps_the_order(self) -> None:
        cores = {f'n{number}': 1.0 for number in range(60)}
        self.assertEqual(
            candidates.ordered(cores, 's'),
            candidates.ordered_for_part(cores, ('s',), 's'),
        )


class WatchersTest(unittest.TestCase):
    @params((1, 1), (6, 2), (49, 2), (60, 3), (165, 5), (410, 10))
    def test_count(self, instances: int, expected: int) -> None:
        found = watchers.watchers(*fleet(instances, 3))
        self.assertEqual(expected, len(found))

    @params((6, 3, 2), (60, 3, 3), (165, 5, 5), (410, 11, 10))
    def test_watchers_are_spread_over_data_centres(
        self, instances: int, centres: int, expected: int
    ) -> None:
        cores, centres_by_instance = fleet(instances, centres)
        found = watchers.watchers(cores, centres_by_instance)
        found_centres = {centres_by_instance[name] for name in found}
        self.assertEqual(expected, len(found_centres))

    def test_instances_with_more_cores_watch(self) -> None:
        cores, centres = fleet(165, 5)
        cores.update({f'n{number}': 2.15 for number in range(15)})
        found = watchers.watchers(cores, centres)
        self.assertEqual({2.15}, {cores[name] for name in found})


def fleet(
    instances: int, centres: int
) -> tuple[dict[str, float], dict[str, DataCentreId]]:
    names = [f'n{number}' for number in range(instances)]
    return (
        dict.fromkeys(names, 1.0),
        {
            name: DataCentreId(f'd{i % centres}')
            for i, name in enumerate(names)
        },
    )
