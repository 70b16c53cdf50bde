"""Test to which instances records are sent."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.dissemination import disseminator
from yuccarill.core.dissemination.record import Record
from yuccarill.core.dissemination import tree
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance


def members(count: int, data_centres: int) -> list[Instance]:
    """Make instances spread evenly over data centres."""
    return [
        Instance(
            id=InstanceId(f'i{n}'),
            data_centre=DataCentreId(f'd{n % data_centres}'),
            host='127.0.0.1',
            http_port=1,
            peer_port=1,
        )
        for n in range(count)
    ]


def disseminate(live: list[Instance], lost: set[str]) -> set[str]:
    """Return the holders of a record sent to every live watcher."""
    by_id = {
        member.id: disseminator.Disseminator(
            member, lambda: live, random.Random(1)
        )
        for member in live
    }
    waiting = [
        member.id for member in live if by_id[member.id].position.is_watcher
    ]
    holders = set()
    while waiting:
        receiver = waiting.pop()
        if receiver in lost:
            continue
        sent = by_id[receiver].receive(Record('k', 1, b''))
        holders.add(receiver)
        waiting.extend(child.id for child in sent or ())
    return holders


class TreeTest(unittest.TestCase):
    @params((1, 1), (2, 1), (6, 3), (37, 1), (410, 11))
    def test_reaches_everyone_with_bounded_fan_out(
        self, count: int, data_centres: int
    ) -> None:
        live = members(count, data_centres)
        self.assertEqual({m.id for m in live}, disseminate(live, set()))
        views = [tree.TreePosition(member, live) for member in live]
        self.assertLessEqual(
            max(len(view.children) for view in views), 2 * tree.FAN_OUT
        )
        self.assertLessEqual(
            max(len(view.partners) for view in views),
            tree.NEAR_PARTNERS + tree.FAR_PARTNERS,
        )
        watchers = sum(view.is_watcher for view in views)
        self.assertLessEqual(watchers, 2 * data_centres)

    def test_one_failure_cuts_off_no_instance(self) -> None:
        # The second tree delivers what a failed instance does not forward,
        # before its failure is detected.
        live = members(37, 1)
        for lost in live:
            held = disseminate(live, {lost.id})
            self.assertEqual({m.id for m in live} - {lost.id}, held)

    def test_rejects_lower_versions(self) -> None:
        # A delayed copy of an older version must be neither stored nor
        # forwarded.
        mine = disseminator.Disseminator(
            members(3, 1)[0], lambda: members(3, 1), random.Random(1)
        )
        self.assertIsNotNone(mine.receive(Record('k', 2, b'new')))
        for late in (Record('k', 1, b'old'), Record('k', 2, b'other')):
            self.assertIsNone(mine.receive(late))
            self.assertIsNone(mine.publish(late))
        self.assertEqual(Record('k', 2, b'new'), mine.records.get('k'))

    def test_compares_both_ways(self) -> None:
        table = disseminator.record_module.RecordTable()
        table.store(Record('a', 5, b''))
        table.store(Record('b', 1, b''))
        found = table.compare({'b': 2, 'c': 1})
        self.assertEqual((Record('a', 5, b''),), found.newer_here)
        self.assertEqual(('b', 'c'), found.newer_there)
