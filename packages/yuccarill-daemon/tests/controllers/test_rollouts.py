"""Test that each step is decided once, whatever fails around it."""

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
from yuccarill.daemon.controllers import lines

from controllers import rollout_world
from controllers.rollout_world import request
from controllers.rollout_world import StoreFault
from controllers.rollout_world import TRAINER

STEP = StepNumber(1)


class ExactlyOnceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = rollout_world.World()
        self.first = self.world.start('a')

    def test_leaving_instance_begins_no_step(self) -> None:
        # The instance is asked to stop while a step is under way. The
        # trainer may repeat and fetch that one; a new one would be cut.
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
        # Submitted, claimed, decided, marked and closed: five a step.
        self.assertEqual(5, self.world.store.writes)

    def test_delivery_survives_lost_replies(self) -> None:
        # The store takes each write, but its reply is lost. The holder sees
        # the key taken when it tries again; it must know its own manifest,
        # or the trainer would wait for a step that is decided.
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.store.faults = [StoreFault.REPLY_LOST]
        body = self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual(body, self.world.run(self.first.fetch(TRAINER, STEP)))

    @params(0, 1, 2, 3, 4, 5)
    def test_any_write_reply_lost(self, position: int) -> None:
        # The trainer repeats whatever failed, as after a 503; at the end it
        # has one set of samples, and the step can't be made again.
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
        # Both were given the step and made their own samples, since each
        # believes it holds the trainer. Whichever decides first, the other
        # must return those bytes, never its own.
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
        # The first holder is paused right before it writes its manifest.
        # Meanwhile the second takes over, the trainer announces version 3
        # there, and the second delivers fresh samples. The first wakes up
        # and must not replace them.
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
        # Another instance is told version 3 while the holder is about to
        # write a manifest of version 1 samples. The claim has changed by
        # then, so the samples are judged again and made anew.
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
        # A holder whose lease lapsed while it was paused still believes it
        # holds the trainer; the claim of its successor names a newer epoch.
        second = self.world.start('b')
        self.world.epochs = {'a': Epoch(1), 'b': Epoch(2)}
        self.world.run(second.submit(TRAINER, request()))
        with self.assertRaises(errors.ClaimLost):
            self.world.run(self.first.submit(TRAINER, request()))

    def test_store_down_at_delivery(self) -> None:
        # The trainer polls a whole step during an outage: it is told what
        # the step waits for and gets its bytes when the store is back.
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.store.is_down = True
        with self.assertRaisesRegex(errors.StepPending, 'key-value service'):
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.world.store.is_down = False
        self.world.run(self.first.fetch(TRAINER, STEP))

    def test_submitted_while_store_is_down(self) -> None:
        # Samples are made during the outage and delivered after it.
        self.world.store.is_down = True
        self.world.run(self.first.submit(TRAINER, request()))
        self.assertEqual(4, self.world.fleet.made)
        self.world.store.is_down = False
        self.world.run(self.first.fetch(TRAINER, STEP))
        self.assertEqual(4, self.world.fleet.made)

    def test_newest_version_is_told_once_the_store_is_back(self) -> None:
        # Version 3 was announced while the store was down. Submitting with
        # the same version again must still put it there, or another holder
        # would judge by version 1.
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
        # The holder dies with its memory before or after the decision. Not
        # decided: the trainer is told to submit again. Decided: nobody may
        # make the step again, since its bytes may have been received.
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

    def test_failed_group_is_told(self) -> None:
        # The engines fail every try of one sample. The trainer must learn
        # it with a code instead of polling for ever, and may submit again.
        self.world.fleet.fails = 1 << 30
        self.world.run(self.first.submit(TRAINER, request()))
        self.world.clock.pump([1.0] * 400)
        with self.assertRaises(errors.GroupFailed):
            self.world.run(self.first.fetch(TRAINER, STEP))
        self.world.fleet.fails = 0
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
        # A rider's call that waits behind samples is answered late.
        self.world.run(self.holder.submit(TRAINER, request()))
        of_callers = lines._PRIORITIES.values()
        self.assertGreater(min(self.world.fleet.priorities), max(of_callers))

    def test_crowded_engines_get_fewer_samples(self) -> None:
        # All three engines report that samples queue. What must be made
        # anew waits here for a second, where any engine may take it.
        self.world.fleet.queued = 1
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.fleet.version = WeightVersion(2)
        told = self.holder.announce(TRAINER, WeightVersion(2))
        defer.ensureDeferred(told)
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
        # All samples are whole when the trainer tells a newer version. What
        # is too old by then is made anew before the step is delivered.
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.fleet.version = WeightVersion(3)
        self.world.run(self.holder.announce(TRAINER, WeightVersion(announced)))
        # Engines that were seen with old weights are asked again after 2 s.
        self.world.clock.pump([0.25] * 10)
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        self.assertEqual(oldest, rollout_world.oldest_of(body))
        self.assertEqual(made, self.world.fleet.made)

    def test_announced_after_delivery(self) -> None:
        # The reply was lost and the trainer asks again after it announced a
        # newer version: the bytes stay, or it might learn from both sets.
        self.world.run(self.holder.submit(TRAINER, request()))
        body = self.world.run(self.holder.fetch(TRAINER, STEP))
        self.world.run(self.holder.announce(TRAINER, WeightVersion(9)))
        self.assertEqual(
            body, self.world.run(self.holder.fetch(TRAINER, STEP))
        )

    def test_engine_that_names_no_version(self) -> None:
        # Tokens of unknown weights can't be attributed; they are made anew.
        self.world.fleet.unnamed = 2
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.clock.pump([1.0] * 5)
        samples = msgspec.json.decode(self.world.fetch(self.holder))['samples']
        tokens = [t for s in samples for p in s['spans'] for t in p['tokens']]
        self.assertEqual(1000, min(tokens))

    def test_swap_while_generating(self) -> None:
        # Version 3 is announced while samples of version 1 are under way;
        # they finish late and must be made anew, not fill their places.
        self.world.gates.shut = {'generating'}
        self.world.run(self.holder.submit(TRAINER, request()))
        self.world.run(self.holder.announce(TRAINER, WeightVersion(3)))
        self.world.fleet.version = WeightVersion(3)
        self.world.gates.open()
        body = self.world.fetch(self.holder)
        self.assertEqual(3, rollout_world.oldest_of(body))
