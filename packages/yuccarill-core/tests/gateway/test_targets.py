"""Test the list of targets, of which each request asks for one service's."""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

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


def start(started_at: int | None, heartbeats: int) -> targets.TargetStart:
    return targets.TargetStart(started_at=started_at, heartbeats=heartbeats)


class StartTest(unittest.TestCase):
    """A process may start again under the id of the one before."""

    @params(
        ('told, the same', start(1, 9), start(1, 10), True),
        ('told, another', start(1, 9), start(2, 10), False),
        (
            'told, another that has beaten more often',
            start(1, 9),
            start(2, 99),
            False,
        ),
        ('not told, one goes on', start(None, 9), start(None, 9), True),
        ('not told, counted anew', start(None, 9), start(None, 1), False),
        ('told only by the later one', start(None, 9), start(2, 10), False),
        ('told only by the one before', start(2, 9), start(None, 10), False),
    )
    def test_starts(
        self,
        _: str,
        known: targets.TargetStart,
        later: targets.TargetStart,
        is_same: bool,
    ) -> None:
        self.assertIs(is_same, known.is_same(later))

    @params({'address': 'x:80'}, {'service': OTHER})
    def test_one_elsewhere_is_another(self, changes: dict) -> None:
        moved = msgspec.structs.replace(target('a'), **changes)
        self.assertFalse(target('a').is_same_start(moved))
