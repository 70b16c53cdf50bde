"""Test which disks replicate a step's samples."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.rollouts import replicas


def _disk(name: str, centre: str, store_id: str = 'x') -> replicas.Disk:
    return replicas.Disk(
        instance=InstanceId(name),
        data_centre=DataCentreId(centre),
        store_id=store_id,
    )


DISKS = [
    _disk('d1', 'freising'),
    _disk('d2', 'freising'),
    _disk('d3', 'freising'),
    _disk('d4', 'rosenheim'),
]
ALL = {disk.instance for disk in DISKS}


class ReplicasTest(unittest.TestCase):
    @params(*range(20))
    def test_two_data_centres(self, number: int) -> None:
        chosen = replicas.choose(f'samples/t/{number}', DISKS, ALL)
        centres = {disk.data_centre for disk in chosen}
        self.assertEqual((2, 2), (len(chosen), len(centres)))

    @params(
        ('both held', [DISKS[0], DISKS[3]], ALL, 0),
        ('one held', [DISKS[3]], ALL, 1),
        ('one gone', [DISKS[0], DISKS[3]], ALL - {InstanceId('d4')}, 1),
        ('one replaced', [DISKS[0], _disk('d4', 'rosenheim', 'y')], ALL, 1),
        ('one data centre left', [], {'d1', 'd2'}, 2),
        ('one disk left', [], {'d1'}, 1),
        ('no disk', [], set(), 0),
    )
    def test_number_of_added_disks(
        self,
        case: str,
        held: list[replicas.Disk],
        usable: set[InstanceId],
        added: int,
    ) -> None:
        chosen = replicas.choose('duty', DISKS, usable, held)
        self.assertEqual(added, len(chosen))
        self.assertFalse(set(chosen) & set(held))
