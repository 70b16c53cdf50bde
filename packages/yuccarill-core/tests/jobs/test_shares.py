"""Test how a job is divided among the partitions of a large service.

Each partition has an even part of the engines, so it has to get an even share
of the steps of every trainer.
"""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WallTime
from yuccarill.core.jobs.job import GroupId
from yuccarill.core.jobs.job import Item
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs import shares

GROUP_SIZE = 16


def job(name: str, model: int, groups: int, wanted: int = 0) -> Job:
    return Job(
        id=JobId(name),
        service=ServiceName('s'),
        host='t.example',
        route='train',
        model=ModelName(f'm{model}'),
        wanted_groups=wanted,
        submitted_at=WallTime(0.0),
        due_at=WallTime(7.5),
        retained_until=WallTime(40.0),
        items=tuple(
            Item(
                id=ItemId(f'{name}-{group}-{member}'),
                path='/p',
                headers=(),
                body=b'',
                tokens=1,
                group=GroupId(f'{name}-{group}'),
            )
            for group in range(groups)
            for member in range(GROUP_SIZE)
        ),
    )


class DivideTest(unittest.TestCase):
    # Number of trainers and of partitions.
    @params((3, 3), (3, 9), (7, 9), (7, 15))
    def test_partitions_get_even_shares(self, models: int, count: int) -> None:
        items = [0] * count
        for model in range(models):
            for step in range(8):
                found = job(f'{model}/{step}', model, 20 * count)
                for share in shares.divide(found, count):
                    assert share.share is not None
                    items[share.share.number] += len(share.items)
        even = models * 8 * 20 * GROUP_SIZE
        for number in items:
            self.assertLess(abs(number - even), 0.2 * even)

    def test_each_item_is_in_one_share_and_groups_stay_together(self) -> None:
        whole = job('j', 0, 40)
        found = shares.divide(whole, 9)
        ids = [item.id for share in found for item in share.items]
        self.assertEqual(sorted(item.id for item in whole.items), sorted(ids))
        groups = [{item.group for item in share.items} for share in found]
        self.assertEqual(40, sum(len(each) for each in groups))
        self.assertEqual(len(found), len({share.service for share in found}))
        self.assertEqual(len(found), len({share.id for share in found}))

    def test_a_repeated_group_goes_to_the_same_partition(self) -> None:
        """Only one partition has the partial texts of a group."""
        whole = job('j', 0, 40)
        later = msgspec.structs.replace(
            whole, id=JobId('k'), items=whole.items[: 10 * GROUP_SIZE]
        )
        partition_by_group = {
            item.group: share.service
            for share in shares.divide(whole, 9)
            for item in share.items
        }
        for share in shares.divide(later, 9):
            for item in share.items:
                self.assertEqual(partition_by_group[item.group], share.service)

    def test_shares_want_as_many_groups_as_the_job(self) -> None:
        found = shares.divide(job('j', 0, 40, wanted=36), 9)
        wanted = sum(share.wanted_groups for share in found)
        self.assertGreaterEqual(wanted, 36)
        for share in found:
            groups = len({item.group for item in share.items})
            self.assertLessEqual(share.wanted_groups, groups)

    def test_partitions_without_items_get_no_share(self) -> None:
        self.assertEqual(1, len(shares.divide(job('j', 0, 1), 9)))
