"""Test the list of targets, of which each request asks for one service's."""

from __future__ import annotations

import unittest

import msgspec

from yuccarill.core.gateway import targets
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId

PLAIN = ServiceName('plain')
OTHER = ServiceName('other')


def target(name: str, service: ServiceName = PLAIN) -> targets.ListedTarget:
    return targets.ListedTarget(
        id=TargetId(name),
        service=service,
        address=f'{name}:80',
        data_centre=DataCentreId('d'),
        slots=4,
    )


class TargetListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.list = targets.TargetList()
        for name in ('a', 'b'):
            self.list.put(target(name))

    def ready(self, service: ServiceName = PLAIN) -> list[str]:
        return sorted(self.list.ready(service))

    def test_what_comes_and_goes_is_seen_at_once(self) -> None:
        self.assertEqual(['a', 'b'], self.ready())
        self.list.put(target('c'))
        self.assertEqual(['a', 'b', 'c'], self.ready())
        self.list.remove(TargetId('a'))
        self.assertEqual(['b', 'c'], self.ready())

    def test_one_that_leaves_is_left_out_at_once(self) -> None:
        self.ready()
        self.list.put(msgspec.structs.replace(target('a'), is_leaving=True))
        self.assertEqual(['b'], self.ready())

    def test_an_address_that_went_to_another_service(self) -> None:
        # A request must not reach a service that its route does not name.
        self.ready()
        self.list.put(target('a', OTHER))
        self.assertEqual(['b'], self.ready())
        self.assertEqual(['a'], self.ready(OTHER))

    def test_only_changes_of_its_own_count_for_a_service(self) -> None:
        # Engines' entries change with each load of their weights.
        before = self.list.changes(PLAIN)
        self.list.put(target('e', OTHER))
        self.list.put(target('a'))
        self.list.remove(TargetId('unknown'))
        self.assertEqual(before, self.list.changes(PLAIN))
        self.list.remove(TargetId('a'))
        self.assertNotEqual(before, self.list.changes(PLAIN))
