"""Test each fault at each stage of a sample.

The trainer records each body that it receives, resubmits an unknown step and
polls until the step is delivered. The tests check its records.
"""

from __future__ import annotations

import enum
import itertools
import pathlib
import tempfile
from typing import Any
import unittest

import msgspec
from nose2.tools import params

from yuccarill.core import errors
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import records
from yuccarill.core.rollouts.stages import SampleStage

from controllers import rollout_world
from controllers.rollout_world import request
from controllers.rollout_world import StoreFault
from controllers.rollout_world import TRAINER

STEP = StepNumber(1)
POLLS = 60
SAMPLES = 4


class Fault(enum.Enum):
    """Name a fault."""

    ENGINE_KILLED = 'engine killed'
    ENGINE_SILENT = 'engine silent'
    SCORER_FAILS = 'scorer fails'
    SCORER_LATE = 'scorer late'
    SAMPLE_TWICE = 'sample finished twice'
    HOLDER_CRASH = 'holder crash'
    TWO_HOLDERS = 'two holders'
    STORE_DOWN = 'store down'
    REPLY_LOST = 'reply lost'
    DISK_TORN = 'disk torn'
    DISK_LOST = 'disk lost'
    SWAP = 'swap'


# The gate that keeps samples at each stage.
GATES = {
    SampleStage.ASSIGNED: 'assigned',
    SampleStage.GENERATING: 'generating',
    SampleStage.SCORING: 'scoring',
    SampleStage.SCORED: 'scored',
}


class Trainer:
    """Simulate a trainer and record the bodies that it receives."""

    def __init__(self, world: rollout_world.World) -> None:
        self._world = world
        self.holder = world.start('a')
        self.newest = 1
        # Newest version when the step was decided or first delivered.
        self.newest_at_decision: int | None = None
        self.bodies: list[bytes] = []

    def submit(self) -> None:
        """Submit the step, with retries."""
        self._retry(
            lambda: self.holder.submit(TRAINER, request(newest=self.newest))
        )

    def receive(self) -> None:
        """Fetch the step until it is delivered."""
        for _ in range(POLLS):
            try:
                body = self._world.run(self.holder.fetch(TRAINER, STEP))
            except errors.UnknownStep:
                self.submit()
                continue
            except errors.YuccarillError as error:
                if isinstance(error, errors.StepClosed):
                    raise
                self._world.clock.pump([1.0] * 5)
                continue
            if self.newest_at_decision is None:
                self.newest_at_decision = self.newest
            self.bodies.append(body)
            return
        raise AssertionError('The step was not delivered.')

    def announce(self, version: int) -> None:
        """Announce a newer version, with retries."""
        self.newest = version
        announced = WeightVersion(version)
        self._retry(lambda: self.holder.announce(TRAINER, announced))

    def acknowledge(self) -> None:
        """Acknowledge the step, with retries."""
        self._retry(lambda: self.holder.acknowledge(TRAINER, STEP))

    def _retry(self, ask: Any) -> None:
        for _ in range(POLLS):
            try:
                self._world.run(ask())
                return
            except (errors.PlatformError, errors.ClaimLost):
                self._world.clock.pump([1.0])
        raise AssertionError('The request was not accepted.')


class FaultMatrixTest(unittest.TestCase):
    @params(*itertools.product(SampleStage, Fault))
    def test_trainer_has_its_step_once(
        self, stage: SampleStage, fault: Fault
    ) -> None:
        # Guards against lost, stale, duplicate or wrongly attributed samples
        # when a fault occurs at a stage.
        with tempfile.TemporaryDirectory() as folder:
            world = rollout_world.World(pathlib.Path(folder))
            for name in ('freising', 'rosenheim', 'muenchen'):
                world.add_disk(name, name)
            trainer = Trainer(world)
            self._bring_to(stage, world, trainer)
            self._inject(fault, world, trainer)
            world.gates.open()
            if stage is not SampleStage.ACKNOWLEDGED:
                trainer.receive()
                trainer.receive()
                trainer.acknowledge()
            self._check(world, trainer)

    def _bring_to(
        self, stage: SampleStage, world: rollout_world.World, trainer: Trainer
    ) -> None:
        world.gates.closed = {GATES.get(stage, 'none')}
        if stage is SampleStage.GENERATED:
            world.fleet.scorer_failures = 6
        if stage is SampleStage.SUBMITTED:
            world.fleet.failures = 1 << 30
        trainer.submit()
        if stage is SampleStage.IN_MANIFEST:
            self._decide(world, trainer)
            return
        if stage in (SampleStage.DELIVERED, SampleStage.ACKNOWLEDGED):
            trainer.receive()
        if stage is SampleStage.ACKNOWLEDGED:
            trainer.acknowledge()
            return
        self.assertIn(stage, trainer.holder.stages(TRAINER, STEP))
        world.fleet.failures = 0

    def _decide(self, world: rollout_world.World, trainer: Trainer) -> None:
        # The store fails right after writing the manifest, so the holder does
        # not learn of it and the trainer must retry.
        world.store.faults = [StoreFault.DOWN_AFTER]
        with self.assertRaises(errors.StepPending):
            world.run(trainer.holder.fetch(TRAINER, STEP))
        world.store.is_down = False
        trainer.newest_at_decision = trainer.newest
        key = records.step_key(TRAINER, STEP)
        record = records.decode(world.store.values_by_key[key][1])
        self.assertIsInstance(record, records.Manifest)

    def _inject(
        self, fault: Fault, world: rollout_world.World, trainer: Trainer
    ) -> None:
        match fault:
            case Fault.ENGINE_KILLED:
                world.gates.cut('assigned', 'generating')
                world.fleet.failures = 2
            case Fault.ENGINE_SILENT:
                # The adapter times out a stream without progress.
                world.clock.pump([1.0] * 6)
                world.gates.cut('assigned', 'generating')
            case Fault.SCORER_FAILS:
                world.gates.cut('scoring')
                world.fleet.scorer_failures += 2
            case Fault.SCORER_LATE:
                world.clock.pump([1.0] * 6)
                world.gates.cut('scoring')
            case Fault.SAMPLE_TWICE:
                self._finish_twice(trainer)
            case Fault.HOLDER_CRASH:
                trainer.holder = world.start('a', 'i2')
            case Fault.TWO_HOLDERS:
                self._hold_twice(world, trainer)
            case Fault.STORE_DOWN:
                world.store.is_down = True
                world.gates.open()
                world.clock.pump([1.0] * 3)
                world.store.is_down = False
            case Fault.REPLY_LOST:
                world.store.faults = [StoreFault.REPLY_LOST]
            case Fault.DISK_TORN:
                self._truncate(world)
            case Fault.DISK_LOST:
                next(iter(world.disks_by_id.values())).replace()
            case Fault.SWAP:
                world.fleet.version = WeightVersion(3)
                trainer.announce(3)

    def _finish_twice(self, trainer: Trainer) -> None:
        work = trainer.holder._work_by_key.get((TRAINER, STEP))
        for finished in list(work.finished_by_place.values() if work else ()):
            self.assertFalse(work.add_sample(finished))

    def _hold_twice(
        self, world: rollout_world.World, trainer: Trainer
    ) -> None:
        # The first holder is unaware that its lease has moved, and continues
        # when the gates open.
        first = trainer.holder
        world.epochs = {'a': Epoch(1), 'b': Epoch(2)}
        trainer.holder = world.start('b')
        try:
            trainer.submit()
        except errors.StepClosed:
            return
        world.gates.open()
        try:
            trainer.bodies.append(world.run(first.fetch(TRAINER, STEP)))
            trainer.newest_at_decision = trainer.newest
        except errors.YuccarillError:
            pass

    def _truncate(self, world: rollout_world.World) -> None:
        disk = next(iter(world.disks_by_id.values()))
        disk.log.close()
        for path in disk.folder.glob('*.log'):
            path.write_bytes(path.read_bytes()[:-3])
        disk.open()

    def _check(self, world: rollout_world.World, trainer: Trainer) -> None:
        self.assertEqual(1, len(set(trainer.bodies)), 'one set of samples')
        delivered = msgspec.json.decode(trainer.bodies[0])
        samples = delivered['samples']
        places = {s['id'].rsplit('/', 1)[0] for s in samples}
        self.assertEqual((SAMPLES, SAMPLES), (len(samples), len(places)))
        oldest = rollout_world.oldest_of(trainer.bodies[0])
        assert trainer.newest_at_decision is not None
        lag = trainer.newest_at_decision - oldest
        self.assertLessEqual(lag, rollout_world.BOUND)
        for sample in samples:
            self._check_attribution(sample)
        with self.assertRaises(errors.StepClosed):
            world.run(trainer.holder.submit(TRAINER, request()))
        for disk in world.disks_by_id.values():
            world.run(disk.store.drop_closed())
            self.assertEqual([], disk.log.steps())

    def _check_attribution(self, sample: Any) -> None:
        position = 0
        for span in sample['spans']:
            for token in span['tokens']:
                expected = span['weight_version'] * 1000 + position
                self.assertEqual(expected, token)
                position += 1
        self.assertEqual(16, position)
