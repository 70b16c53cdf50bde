"""Test which instance addresses callers receive.

Models a large fleet whose callers pick a random address per connection. Names
begin with the data centre, so sorting them by name would favour a few centres.
"""

from __future__ import annotations

import collections
import random
import unittest

from nose2.tools import params

from yuccarill.core.gateway import directory
from yuccarill.core.ids import DataCentreId

CENTRES = [DataCentreId(name) for name in 'abcde']
PER_CENTRE = 33
STRONG = 3
CALLERS = 19


def fleet(
    per_centre: int = PER_CENTRE, centres: int = len(CENTRES)
) -> dict[str, directory.InstanceLocation]:
    return {
        f'{centre}{number:02}:80': directory.InstanceLocation(
            cores=2.15 if number < STRONG else 0.516, data_centre=centre
        )
        for centre in CENTRES[:centres]
        for number in range(per_centre)
    }


class AddressesForCallerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.places = fleet()

    def centres(self, addresses: list[str]) -> collections.Counter[str]:
        return collections.Counter(
            self.places[address].data_centre for address in addresses
        )

    @params(*CENTRES)
    def test_most_are_local_and_all_data_centres_are_included(
        self, centre: DataCentreId
    ) -> None:
        found = self.centres(
            directory.addresses_for_caller(self.places, centre)
        )
        self.assertEqual(directory.MAX_LOCAL_INSTANCES, found[centre])
        self.assertEqual({1}, {found[c] for c in CENTRES if c != centre})

    def test_instances_with_more_cores_come_first(self) -> None:
        found = directory.addresses_for_caller(self.places, CENTRES[0])
        self.assertEqual(
            {2.15}, {self.places[address].cores for address in found[:STRONG]}
        )

    @params(('nowhere', 16), ('', 16))
    def test_a_caller_elsewhere_gets_all_data_centres(
        self, centre: str, expected: int
    ) -> None:
        found = directory.addresses_for_caller(
            self.places, DataCentreId(centre)
        )
        self.assertEqual(expected, len(found))
        self.assertEqual(len(CENTRES), len(self.centres(found)))

    @params((1, 1), (2, 3), (3, 3))
    def test_few_instances_are_all_included(
        self, per_centre: int, centres: int
    ) -> None:
        places = fleet(per_centre, centres)
        found = directory.addresses_for_caller(places, CENTRES[0])
        self.assertEqual(sorted(places), sorted(found))

    def test_a_lost_instance_is_replaced_and_the_others_stay(self) -> None:
        before = directory.addresses_for_caller(self.places, CENTRES[0])
        del self.places[before[5]]
        after = directory.addresses_for_caller(self.places, CENTRES[0])
        self.assertEqual(len(before), len(after))
        self.assertEqual(1, len(set(before) - set(after)))

    def test_callers_of_a_lost_data_centre_get_all_others(self) -> None:
        lost = CENTRES[0]
        remaining = {
            a: p for a, p in self.places.items() if p.data_centre != lost
        }
        found = directory.addresses_for_caller(remaining, lost)
        self.assertEqual(
            directory.MAX_LOCAL_INSTANCES + directory.REMOTE_INSTANCES,
            len(found),
        )
        self.assertEqual(4, len(self.centres(found)))

    def test_load_is_spread(self) -> None:
        """Guards against callers of all data centres sharing a few instances.

        The load is compared per core, since strong instances get more callers.
        """
        generator = random.Random(5)
        picks = collections.Counter(
            generator.choice(
                directory.addresses_for_caller(self.places, centre)
            )
            for centre in CENTRES
            for _ in range(CALLERS * 50)
        )
        by_core = [
            count / self.places[address].cores
            for address, count in picks.items()
        ]
        mean = sum(by_core) / len(by_core)
        self.assertLess(max(by_core) / mean, 1.7)
        self.assertGreaterEqual(len(picks), 5 * directory.MAX_LOCAL_INSTANCES)
