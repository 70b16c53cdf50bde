"""Test that each step is decided once under faults."""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import records
from yuccarill.daemon.controllers import call_queues

from controllers import rollout_world
from controllers.rollout_world import request
from controllers.rollout_world import StoreFault
from controllers.rollout_world import TRAINER

STEP = StepNumber(1)


class ExactlyOnceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = rollout_world.World()
        self.first = self.world.start('a')

    def test_leaving_instance_starts_no_step(self) -> None:
        # Guards against starting a step that shutdown would interrupt; open
        # steps can still be repeated and fetched.
        self.world.run(self.first.submit(TRAINER, request()))
        self.first._blackboard.is_leaving = True
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.run(self.first.fetch(TRAINER, STEP))
        with self.assertRaises(errors.NotRun):
            self.world.run(self.first.submit(TRAINER, request(step=2)))

    def test_same_bytes_until_acknowledged(self) -> None:
        self.world.run(self.first.submit(TRAINER, request()))
        body = self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual(body, self.world.run(self.first.fetch(TRAINER, STEP)))
        self.world.run(self.first.acknowledge(TRAINER, STEP))
        self.world.run(self.first.acknowledge(TRAINER, STEP))
        with self.assertRaises(errors.StepClosed):
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual({}, self.first._work_by_key)
        # Five writes per step: submit, claim, decide, mark and close.
        self.assertEqual(5, self.world.store.writes)

    def test_delivery_survives_lost_replies(self) -> None:
        # Guards against a holder not recognizing its own manifest after the
        # store's reply is lost, which would block the trainer.
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.store.faults = [StoreFault.REPLY_LOST]
        body = self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual(body, self.world.run(self.first.fetch(TRAINER, STEP)))

    @params(0, 1, 2, 3, 4, 5)
    def test_any_write_reply_lost(self, position: int) -> None:
        # Guards against a second sample set when the trainer retries after
        # errors.
        faults = [None] * position + [StoreFault.REPLY_LOST]
        self.world.store.faults = faults
        self.world.run(self.first.submit(TRAINER, request()))
        body = self.world.run(self.first.fetch(TRAINER, STEP))
        for _ in range(2):
            try:
                self.world.run(self.first.acknowledge(TRAINER, STEP))
                break
            except errors.StoreUnavailable:
                same = self.world.run(self.first.fetch(TRAINER, STEP))
                self.assertEqual(body, same)
        with self.assertRaises(errors.StepClosed):
            self.world.run(self.first.submit(TRAINER, request()))

    def test_two_holders_deliver_the_same(self) -> None:
        # Guards against two holders delivering different samples: both must
        # return the bytes of the first decision.
        second = self.world.start('b')
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.run(second.submit(TRAINER, request()))
        body = self.world.run(second.fetch(TRAINER, STEP))
        self.assertEqual(body, self.world.run(self.first.fetch(TRAINER, STEP)))
        with self.assertRaises(errors.StepClosed):
            self.world.run(self.first.acknowledge(TRAINER, STEP))
            self.world.run(second.acknowledge(TRAINER, STEP))
            self.world.run(second.fetch(TRAINER, STEP))

    def test_paused_holder_decides_too_late(self) -> None:
        # Guards against a paused holder overwriting the manifest of its
        # successor, which has delivered fresh samples meanwhile.
        second = self.world.start('b')
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.epochs = {'a': Epoch(1), 'b': Epoch(2)}
        bodies = []

        def overtake(key: str) -> None:
            self.world.store.before_swap = lambda key: None
            self.world.fleet.version = WeightVersion(3)
            self.world.run(second.announce(TRAINER, WeightVersion(3)))
            self.world.run(second.submit(TRAINER, request()))
            bodies.append(self.world.run(second.fetch(TRAINER, STEP)))

        self.world.store.before_swap = overtake
        late = self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual(bodies, [late])
        self.assertEqual(3, rollout_world.oldest_of(late))

    def test_announcement_before_the_decision(self) -> None:
        # Guards against deciding with stale samples when a new version is
        # announced elsewhere right before the manifest is written.
        second = self.world.start('b')
        self.world.run(self.first.submit(TRAINER, request()))

        def announce(key: str) -> None:
            self.world.store.before_swap = lambda key: None
            self.world.fleet.version = WeightVersion(3)
            self.world.run(second.announce(TRAINER, WeightVersion(3)))

        self.world.store.before_swap = announce
        body = self.world.fetch(self.first)
        self.assertEqual(3, rollout_world.oldest_of(body))

    def test_older_epoch_may_not_claim(self) -> None:
        # Guards against decisions by a paused holder whose lease has expired;
        # the claim of its successor has a newer epoch.
        second = self.world.start('b')
        self.world.epochs = {'a': Epoch(1), 'b': Epoch(2)}
        self.world.run(second.submit(TRAINER, request()))
        with self.assertRaises(errors.ClaimLost):
            self.world.run(self.first.submit(TRAINER, request()))

    def test_store_down_at_delivery(self) -> None:
        # Guards against losing a complete step in an outage; the trainer
        # learns the reason and gets the bytes afterwards.
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.store.is_down = True
        with self.assertRaisesRegex(errors.StepPending, 'key-value service'):
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.world.store.is_down = False
        self.world.run(self.first.fetch(TRAINER, STEP))

    def test_submitted_while_store_is_down(self) -> None:
        # Guards against stopping sample generation during an outage.
        self.world.store.is_down = True
        self.world.run(self.first.submit(TRAINER, request()))
        self.assertEqual(4, self.world.fleet.made)
        self.world.store.is_down = False
        self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual(4, self.world.fleet.made)

    def test_newest_version_is_stored_after_an_outage(self) -> None:
        # Guards against an announcement being lost in an outage: a submit with
        # the same version must store it for other holders.
        self.world.store.is_down = True
        with self.assertRaises(errors.StoreUnavailable):
            self.world.run(self.first.announce(TRAINER, WeightVersion(3)))
        self.world.store.is_down = False
        self.world.fleet.version = WeightVersion(3)
        self.world.run(self.first.submit(TRAINER, request(newest=3)))
        key = records.progress_key(TRAINER)
        progress = msgspec.json.decode(self.world.store.values_by_key[key][1])
        self.assertEqual(3, progress['newest_version'])

    @params(False, True)
    def test_holder_crashes(self, decided: bool) -> None:
        # Guards against generating a decided step twice after its holder
        # crashed. An undecided step must be submitted again.
        self.world.run(self.first.submit(TRAINER, request()))
        if decided:
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.first = self.world.start('a', 'i2')
        expected = errors.SamplesLost if decided else errors.UnknownStep
        with self.assertRaises(expected):
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.world.run(self.first.submit(TRAINER, request()))
        if decided:
            with self.assertRaises(errors.SamplesLost):
                self.world.run(self.first.fetch(TRAINER, STEP))
        else:
            self.world.run(self.first.fetch(TRAINER, STEP))

    def test_failed_group_is_reported(self) -> None:
        # Guards against polling forever for a step whose sample fails on all
        # attempts; it can be submitted again.
        self.world.fleet.failures = 1 << 30
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.clock.pump([1.0] * 400)
        with self.assertRaises(errors.GroupFailed):
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.world.fleet.failures = 0
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.clock.pump([1.0] * 60)
        self.world.run(self.first.fetch(TRAINER, STEP))

    def test_other_groups_under_the_same_number(self) -> None:
        self.world.run(self.first.submit(TRAINER, request()))
        for holder in (self.first, self.world.start('b')):
            with self.assertRaises(errors.StepConflict):
                self.world.run(holder.submit(TRAINER, request(prompt='other')))

    def test_undelivered_step_is_not_acknowledged(self) -> None:
        self.world.run(self.first.submit(TRAINER, request()))
        with self.assertRaises(errors.StepConflict):
            self.world.run(self.first.acknowledge(TRAINER, STEP))
        self.world.run(self.first.delete(TRAINER, STEP))
        with self.assertRaises(errors.StepClosed):
            self.world.run(self.first.submit(TRAINER, request()))


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = rollout_world.World()
        self.holder = self.world.start('a')

    def test_callers_go_before_samples(self) -> None:
        # Guards against latency-sensitive calls waiting behind samples.
        self.world.run(self.holder.submit(TRAINER, request()))
        of_callers = call_queues._PRIORITIES.values()
        self.assertGreater(min(self.world.fleet.priorities), max(of_callers))

    def test_busy_engines_get_fewer_samples(self) -> None:
        # Guards against sending more samples to engines that report a queue.
        self.world.fleet.queued = 1
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.fleet.version = WeightVersion(2)
        announced = self.holder.announce(TRAINER, WeightVersion(2))
        defer.ensureDeferred(announced)
        work = self.holder._work_by_key[TRAINER, StepNumber(1)]
        self.holder._replace_stale(self.holder._trainer(TRAINER), work, 3)
        self.assertEqual(4, self.world.fleet.made)
        self.world.clock.pump([0.25] * 4)
        self.assertEqual(8, self.world.fleet.made)


class StalenessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = rollout_world.World()
        self.holder = self.world.start('a')

    @params((2, 1, 4), (3, 3, 8))
    def test_announced_before_delivery(
        self, announced: int, oldest: int, made: int
    ) -> None:
        # Guards against delivering complete but stale samples.
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.fleet.version = WeightVersion(3)
        self.world.run(self.holder.announce(TRAINER, WeightVersion(announced)))
        # Engines with old weights are retried after 2 s.
        self.world.clock.pump([0.25] * 10)
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        self.assertEqual(oldest, rollout_world.oldest_of(body))
        self.assertEqual(made, self.world.fleet.made)

    def test_announced_after_delivery(self) -> None:
        # Guards against changed bytes when a trainer fetches a step again
        # after announcing a newer version.
        self.world.run(self.holder.submit(TRAINER, request()))
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        self.world.run(self.holder.announce(TRAINER, WeightVersion(9)))
        self.assertEqual(
            body, self.world.run(self.holder.fetch(TRAINER, STEP))
        )

    def test_engine_that_sends_no_version(self) -> None:
        # Guards against tokens that can't be attributed to a weight version.
        self.world.fleet.unversioned = 2
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.clock.pump([1.0] * 5)
        samples = msgspec.json.decode(self.world.fetch(self.holder))['samples']
        tokens = [t for s in samples for p in s['spans'] for t in p['tokens']]
        self.assertEqual(1000, min(tokens))

    def test_swap_while_generating(self) -> None:
        # Guards against accepting samples that became stale during generation.
        self.world.gates.closed = {'generating'}
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.holder.announce(TRAINER, WeightVersion(3)))
        self.world.fleet.version = WeightVersion(3)
        self.world.gates.open()
        body = self.world.fetch(self.holder)
        self.assertEqual(3, rollout_world.oldest_of(body))
