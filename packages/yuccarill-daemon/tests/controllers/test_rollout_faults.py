"""The fault matrix: each fault at each stage of a sample's life.

The trainer's own record is what is judged: it keeps every body that it was
given, submits again what nobody knows, and asks on until it has its step.
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
    """Name what goes wrong."""

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


# Where the world is held so that samples stand at a stage.
GATES = {
    SampleStage.ASSIGNED: 'assigned',
    SampleStage.GENERATING: 'generating',
    SampleStage.SCORING: 'scoring',
    SampleStage.SCORED: 'scored',
}


class Trainer:
    """Ask as a trainer does, and keep what was received."""

    def __init__(self, world: rollout_world.World) -> None:
        self._world = world
        self.holder = world.start('a')
        self.newest = 1
        # When the step was decided, or first asked for once it was whole.
        self.newest_at_decision: int | None = None
        self.bodies: list[bytes] = []

    def submit(self) -> None:
        """Submit the step, as often as it takes."""
        self._insist(
            lambda: self.holder.submit(TRAINER, request(newest=self.newest))
        )

    def receive(self) -> None:
        """Ask for the step until it is there."""
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
        raise AssertionError('the step never came')

    def announce(self, version: int) -> None:
        """Tell a newer version."""
        self.newest = version
        told = WeightVersion(version)
        self._insist(lambda: self.holder.announce(TRAINER, told))

    def acknowledge(self) -> None:
        """Close the step."""
        self._insist(lambda: self.holder.acknowledge(TRAINER, STEP))

    def _insist(self, ask: Any) -> None:
        for _ in range(POLLS):
            try:
                self._world.run(ask())
                return
            except (errors.PlatformError, errors.ClaimLost):
                self._world.clock.pump([1.0])
        raise AssertionError('it was never taken')


class FaultMatrixTest(unittest.TestCase):
    @params(*itertools.product(SampleStage, Fault))
    def test_trainer_has_its_step_once(
        self, stage: SampleStage, fault: Fault
    ) -> None:
        # The step is brought to the stage; then the fault happens, all that
        # was held back goes on, and the trainer asks until it has its step.
        # It must get one set of samples, fresh and rightly attributed,
        # whatever happened, and no second set after it has closed the step.
        with tempfile.TemporaryDirectory() as folder:
            world = rollout_world.World(pathlib.Path(folder))
            for name in ('freising', 'rosenheim', 'muenchen'):
                world.add_disk(name, name)
            trainer = Trainer(world)
            self._bring_to(stage, world, trainer)
            self._cause(fault, world, trainer)
            world.gates.open()
            if stage is not SampleStage.ACKNOWLEDGED:
                trainer.receive()
                trainer.receive()
                trainer.acknowledge()
            self._check(world, trainer)

    def _bring_to(
        self, stage: SampleStage, world: rollout_world.World, trainer: Trainer
    ) -> None:
        world.gates.shut = {GATES.get(stage, 'none')}
        if stage is SampleStage.GENERATED:
            world.fleet.scorer_fails = 6
        if stage is SampleStage.SUBMITTED:
            world.fleet.fails = 1 << 30
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
        world.fleet.fails = 0

    def _decide(self, world: rollout_world.World, trainer: Trainer) -> None:
        # The manifest stands, but the holder can't learn it: the store went
        # down right after the write. The trainer is told to ask again.
        world.store.faults = [StoreFault.DOWN_AFTER]
        with self.assertRaises(errors.StepPending):
            world.run(trainer.holder.fetch(TRAINER, STEP))
        world.store.is_down = False
        trainer.newest_at_decision = trainer.newest
        key = records.step_key(TRAINER, STEP)
        standing = records.decode(world.store.values_by_key[key][1])
        self.assertIsInstance(standing, records.Manifest)

    def _cause(
        self, fault: Fault, world: rollout_world.World, trainer: Trainer
    ) -> None:
        match fault:
            case Fault.ENGINE_KILLED:
                world.gates.cut('assigned', 'generating')
                world.fleet.fails = 2
            case Fault.ENGINE_SILENT:
                # The adapter gives a stream up that makes no progress.
                world.clock.pump([1.0] * 6)
                world.gates.cut('assigned', 'generating')
            case Fault.SCORER_FAILS:
                world.gates.cut('scoring')
                world.fleet.scorer_fails += 2
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
                self._tear(world)
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
        # The lease went to another instance; the first does not know, and
        # goes on when the gates open.
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

    def _tear(self, world: rollout_world.World) -> None:
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
                wanted = span['weight_version'] * 1000 + position
                self.assertEqual(wanted, token)
                position += 1
        self.assertEqual(16, position)
