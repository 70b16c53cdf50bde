"""Test that finished samples survive the loss of holder and disk."""

from __future__ import annotations

import pathlib
import tempfile
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from yuccarill.core import errors
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import records

from controllers import rollout_world
from controllers.rollout_world import request
from controllers.rollout_world import TRAINER

STEP = StepNumber(1)


class SampleStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = rollout_world.World(pathlib.Path(folder.name))
        self.first = self.world.add_disk('d1', 'freising')
        self.second = self.world.add_disk('d2', 'freising')
        self.other = self.world.add_disk('d3', 'rosenheim')
        self.holder = self.world.start('a')

    def test_copies_in_two_data_centres(self) -> None:
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.holder.fetch(TRAINER, STEP))
        stored_on = self._manifest()['stored_on']
        self.assertEqual(2, len(stored_on))
        self.assertIn('d3', stored_on)

    @params(None, 'd1', 'd2', 'd3')
    def test_holder_dies_after_the_decision(self, lost: str | None) -> None:
        # Guards against losing a decided step when its holder and a disk
        # instance fail right after the decision.
        self.world.run(self.holder.submit(TRAINER, request()))
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        if lost is not None:
            self.world.disks_by_id[lost].is_up = False
        successor = self.world.start('b')
        del self.world.holders['a']
        self.assertEqual(body, self.world.run(successor.fetch(TRAINER, STEP)))

    def test_corrupt_copy_is_skipped(self) -> None:
        # Guards against delivering corrupt copies; checksums detect them.
        self.world.run(self.holder.submit(TRAINER, request()))
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        for path in self.other.folder.glob('*.log'):
            path.write_bytes(path.read_bytes().replace(b'spans', b'spins'))
        successor = self.world.start('b')
        self.assertEqual(body, self.world.run(successor.fetch(TRAINER, STEP)))

    def test_unfinished_step_is_resumed(self) -> None:
        # Guards against regenerating stored samples after a holder crash.
        self.world.fleet.blocks_after = 3
        self.world.run(self.holder.submit(TRAINER, request()))
        with self.assertRaises(errors.StepPending):
            self.world.run(self.holder.fetch(TRAINER, STEP))
        self.world.fleet.blocks_after = 9
        self.world.gates.closed = set()
        successor = self.world.start('b')
        self.world.run(successor.submit(TRAINER, request()))
        self.world.fetch(successor)
        self.assertEqual(5, self.world.fleet.made)

    def test_stale_samples_are_not_resumed(self) -> None:
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.fleet.version = WeightVersion(3)
        successor = self.world.start('b')
        self.world.run(successor.submit(TRAINER, request(newest=3)))
        body = self.world.fetch(successor)
        self.assertEqual(3, rollout_world.oldest_of(body))

    def test_disk_replaced_before_the_decision(self) -> None:
        # Guards against counting copies on a disk that restarted empty under
        # its old name, when the other disk is lost as well.
        self.world.run(self.holder.submit(TRAINER, request()))
        self.other.replace()
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        self.first.is_up = self.second.is_up = False
        del self.world.holders['a']
        successor = self.world.start('b')
        self.assertEqual(body, self.world.run(successor.fetch(TRAINER, STEP)))

    @params((1, 2), (2, 1), (3, 0))
    def test_fewer_disks_than_wanted(self, down: int, copies: int) -> None:
        # Guards against blocking the trainer when disk instances are down
        # permanently.
        for name in ('d3', 'd2', 'd1')[:down]:
            self.world.disks_by_id[name].is_up = False
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.holder.fetch(TRAINER, STEP))
        self.assertEqual(copies, len(self._manifest()['stored_on']))

    def test_disk_that_refuses_is_replaced_by_the_next(self) -> None:
        # Guards against losing samples when a disk is full.
        self.other.log._max_bytes = -1
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.holder.fetch(TRAINER, STEP))
        self.assertEqual(['d1', 'd2'], sorted(self._manifest()['stored_on']))

    def test_copy_counts_only_once_it_is_synced(self) -> None:
        # Guards against counting a copy whose sync failed, as a power loss
        # would delete it.
        with mock.patch.object(
            self.other.log, 'sync', autospec=True, side_effect=OSError
        ):
            self.world.run(self.holder.submit(TRAINER, request()))
            self.world.run(self.holder.fetch(TRAINER, STEP))
        self.assertEqual(['d1', 'd2'], sorted(self._manifest()['stored_on']))

    def test_space_is_freed(self) -> None:
        # Guards against keeping samples of closed steps on a disk that was
        # unreachable when the step was closed.
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.holder.fetch(TRAINER, STEP))
        self.other.is_up = False
        self.world.run(self.holder.acknowledge(TRAINER, STEP))
        self.assertEqual([], self.first.log.steps())
        self.assertEqual([], self.second.log.steps())
        self.assertNotEqual([], self.other.log.steps())
        self.world.run(self.other.store.drop_closed())
        self.assertEqual([], self.other.log.steps())

    def test_open_step_is_not_dropped(self) -> None:
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.other.store.drop_closed())
        self.assertNotEqual([], self.other.log.steps())

    def _manifest(self) -> dict[str, list[str]]:
        key = records.step_key(TRAINER, STEP)
        found: dict[str, list[str]] = msgspec.json.decode(
            self.world.store.values_by_key[key][1]
        )
        return found
