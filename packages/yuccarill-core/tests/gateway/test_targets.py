"""Test the target list and its lookup by service."""

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

    def test_changes_are_visible_at_once(self) -> None:
        self.assertEqual(['a', 'b'], self.ready())
        self.list.put(target('c'))
        self.assertEqual(['a', 'b', 'c'], self.ready())
        self.list.remove(TargetId('a'))
        self.assertEqual(['b', 'c'], self.ready())

    def test_a_leaving_target_is_omitted_at_once(self) -> None:
        self.ready()
        self.list.put(msgspec.structs.replace(target('a'), is_leaving=True))
        self.assertEqual(['b'], self.ready())

    def test_a_target_that_moves_to_another_service(self) -> None:
        # Guards against requests sent to a service that the route lacks.
        self.ready()
        self.list.put(target('a', OTHER))
        self.assertEqual(['b'], self.ready())
        self.assertEqual(['a'], self.ready(OTHER))

    def test_changes_are_counted_per_service(self) -> None:
        # Engine entries change often, with each load of weights.
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
    """Guards against mistaking a restarted process for its predecessor."""

    # Whether the start time is reported, and which process; two starts.
    @params(
        ('reported, same', start(1, 9), start(1, 10), True),
        ('reported, another', start(1, 9), start(2, 10), False),
        (
            'reported, another with more heartbeats',
            start(1, 9),
            start(2, 99),
            False,
        ),
        ('not reported, same', start(None, 9), start(None, 9), True),
        ('not reported, another', start(None, 9), start(None, 1), False),
        ('reported only later', start(None, 9), start(2, 10), False),
        ('reported only before', start(2, 9), start(None, 10), False),
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
    def test_a_moved_target_is_another_start(self, changes: dict) -> None:
        moved = msgspec.structs.replace(target('a'), **changes)
        self.assertFalse(target('a').is_same_start(moved))
