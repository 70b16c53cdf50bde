"""Test the scheduling of samples, also with engine failures."""

from __future__ import annotations

import collections
import gc
import random
import unittest
import weakref

import hypothesis
from hypothesis import strategies
from nose2.tools import params

from yuccarill.core.config import inventory
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import plan
from yuccarill.core.rollouts import sample
from yuccarill.core.rollouts import scheduler
from yuccarill.core.rollouts import step
from yuccarill.core.rollouts import work as work_module

MODEL = ModelName('m')
ENGINES = [TargetId(f'e{number}') for number in range(4)]
START = Instant(100.0)


def _trainer(
    name: str = 't',
    bound: int = 1,
    share: int = 1,
    policy: inventory.TrainerPolicy | None = None,
) -> inventory.Trainer:
    return inventory.Trainer(
        id=TrainerId(name),
        model=MODEL,
        scorer=ScorerId('s'),
        staleness_bound=bound,
        share=share,
        policy=policy or inventory.IdleFirst(steps_ahead=1, hedge_part=0.5),
    )


def _work(
    name: str = 't', number: int = 1, groups: int = 2, spare: int = 0
) -> work_module.StepWork:
    requested = tuple(step.Group(f'{name}{n}', 2) for n in range(groups))
    request = step.StepRequest(
        StepNumber(number), WeightVersion(1), requested, spare
    )
    return work_module.StepWork(TrainerId(name), request, spare)


class SchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = scheduler.Scheduler(slots=1)
        self.scheduler.set_engines(MODEL, ENGINES)

    def _orders(self, after: float = 0.0) -> scheduler.Orders:
        return self.scheduler.next_orders(Instant(START + after))

    def _progress(
        self, attempt: plan.Attempt, version: int = 1, tokens: int = 100
    ) -> bool:
        reported = WeightVersion(version)
        attempt.spans = sample.append(attempt.spans, reported, (7,) * tokens)
        return self.scheduler.record_progress(attempt, reported, tokens, START)

    @hypothesis.seed(6)
    @hypothesis.settings(deadline=None, database=None, max_examples=60)
    @hypothesis.given(strategies.integers(0, 1 << 30))
    def test_against_a_list_of_places(self, seed: int) -> None:
        # Engines join, leave and fail attempts at random. Each place is filled
        # exactly once, no engine exceeds its slots, and no place runs twice on
        # one engine.
        draw = random.Random(seed)
        tested = scheduler.Scheduler(slots=2)
        works = [_work(name, 1, groups=3) for name in ('a', 'b')]
        for work in works:
            tested.open_step(_trainer(work.trainer), work)
        wanted = {(w.trainer, place) for w in works for place in w.places()}
        done: collections.Counter[tuple[str, sample.Place]] = (
            collections.Counter()
        )
        running: list[plan.Attempt] = []
        now = 0.0
        for _ in range(2000):
            now += 0.5
            engines = [e for e in ENGINES if draw.random() < 0.8]
            tested.set_engines(MODEL, engines or ENGINES[:1])
            orders = tested.next_orders(Instant(now))
            running = [a for a in running if a not in orders.cancel]
            running.extend(orders.start)
            loads = collections.Counter(a.engine for a in running)
            self.assertLessEqual(max(loads.values(), default=0), 2)
            twice = collections.Counter((a.place, a.engine) for a in running)
            by_trainer = {
                (a.plan.work.trainer, a.place, a.engine) for a in running
            }
            self.assertEqual(len(running), len(by_trainer), twice)
            if not running:
                continue
            attempt = running.pop(draw.randrange(len(running)))
            if draw.random() < 0.3:
                tested.fail_attempt(attempt, Instant(now))
            elif tested.finish_attempt(attempt, Instant(now)):
                done[attempt.plan.work.trainer, attempt.place] += 1
            if set(done) == wanted:
                break
        self.assertEqual(wanted, set(done))
        self.assertEqual({1}, set(done.values()))

    def test_resumes_from_the_tokens_so_far(self) -> None:
        # Guards against lost tokens if an engine fails in mid-sample: another
        # engine resumes with them and their attribution.
        self.scheduler.open_step(_trainer(), _work())
        first = self._orders().start[0]
        self._progress(first)
        self.scheduler.fail_attempt(first, START)
        resumed = self._resumed(first)
        self.assertEqual(first.spans, resumed.spans)
        self.assertNotEqual(first.engine, resumed.engine)

    def _resumed(self, first: plan.Attempt) -> plan.Attempt:
        others = [a for a in self._running(first) if a is not first]
        self.scheduler.finish_attempt(others[0], START)
        started = self._orders().start
        return next(a for a in started if a.place == first.place)

    def _running(self, attempt: plan.Attempt) -> list[plan.Attempt]:
        by_place = attempt.plan.attempts_by_place.values()
        return [each for attempts in by_place for each in attempts]

    def test_load_is_spread(self) -> None:
        # Guards against filling one engine while others are idle.
        made = scheduler.Scheduler(slots=16)
        made.set_engines(MODEL, ENGINES)
        made.open_step(_trainer(), _work(groups=6))
        started = made.next_orders(START).start
        loads = collections.Counter(attempt.engine for attempt in started)
        self.assertEqual({3}, set(loads.values()))

    def test_failing_engine_is_paused(self) -> None:
        # Guards against a crashed engine that fails all waiting samples, since
        # it becomes free at once.
        self.scheduler.open_step(_trainer(), _work(groups=20))
        crashed = self._orders().start[0]
        self.scheduler.fail_attempt(crashed, START)
        self.assertEqual((), self._orders(0.5).start)
        started = self._orders(1.5).start
        self.assertEqual([crashed.engine], [a.engine for a in started])
        self.scheduler.fail_attempt(started[0], Instant(START + 1.5))
        self.assertEqual((), self._orders(3.0).start)
        self.assertEqual(1, len(self._orders(3.6).start))

    def test_a_place_without_any_token_fails(self) -> None:
        self.scheduler.set_engines(MODEL, ENGINES[:1])
        self.scheduler.open_step(_trainer(), _work(groups=1))
        outcomes = []
        now = 0.0
        while len(outcomes) < scheduler.MAX_FAILURES:
            now += 60.0
            attempt = self._orders(now).start[0]
            outcomes.append(
                self.scheduler.fail_attempt(attempt, Instant(START + now))
            )
        self.assertEqual([True] * (len(outcomes) - 1) + [False], outcomes)

    @params((1, 100, 1), (1, 1, 2), (8, 1, 1))
    def test_only_the_last_slow_places_are_hedged(
        self, groups: int, tokens: int, attempts: int
    ) -> None:
        # A very slow sample is hedged if it is one of the last of its step.
        work = _work(groups=groups)
        self.scheduler.open_step(_trainer(), work)
        slow, *others = self._orders().start
        for other in others:
            self._progress(other, tokens=3000)
            self.scheduler.finish_attempt(other, Instant(START + 3.0))
        self._progress(slow, tokens=tokens * 100)
        self._orders(10.0)
        self.assertEqual(
            attempts, len(slow.plan.attempts_by_place[slow.place])
        )

    def test_hedges_are_few(self) -> None:
        # Guards against hedging all samples after a weight change, which would
        # take engines from other trainers.
        self.scheduler.set_engines(MODEL, [f'e{n}' for n in range(8)])
        policy = inventory.IdleFirst(hedge_part=0.5)
        self.scheduler.open_step(_trainer(policy=policy), _work())
        self.scheduler._mean_rate = 1000.0
        self.assertEqual(4, len(self._orders().start))
        self.assertEqual((), self._orders(10.0).start)

    def test_hedge_runs_on_another_engine(self) -> None:
        made = scheduler.Scheduler(slots=4)
        made.set_engines(MODEL, ENGINES[:1])
        made.open_step(_trainer(), _work(groups=1))
        slow, other = made.next_orders(START).start
        other.made = 3000
        made.finish_attempt(other, Instant(START + 3.0))
        self.assertEqual((), made.next_orders(Instant(START + 10.0)).start)
        made.set_engines(MODEL, ENGINES[:2])
        hedge = made.next_orders(Instant(START + 11.0)).start[0]
        self.assertNotEqual(slow.engine, hedge.engine)

    def test_waiting_partial_sample_becomes_stale(self) -> None:
        # A partial sample of version 1 waits when version 3 is announced, and
        # is restarted.
        self.scheduler.set_engines(MODEL, ENGINES[:1])
        self.scheduler.open_step(_trainer(), _work(groups=1))
        first = self._orders().start[0]
        self._progress(first, version=1)
        self.scheduler.fail_attempt(first, START)
        self.scheduler.raise_newest(TrainerId('t'), WeightVersion(3))
        restarted = self._orders(60.0).start[0]
        self.assertEqual((first.place, ()), (restarted.place, restarted.spans))

    def test_the_first_finished_attempt_wins(self) -> None:
        self.scheduler.open_step(_trainer(), _work(groups=1))
        slow, other = self._orders().start
        self._progress(other, tokens=3000)
        self.scheduler.finish_attempt(other, Instant(START + 3.0))
        self._progress(slow, tokens=1)
        hedge = self._orders(10.0).start[0]
        self.assertTrue(self.scheduler.finish_attempt(hedge, START))
        self.assertEqual((slow,), self._orders(10.0).cancel)
        self.assertFalse(self.scheduler.finish_attempt(slow, START))

    def test_stale_attempt_is_cancelled_and_restarted(self) -> None:
        # Version 3 is announced while a sample of version 1 runs.
        self.scheduler.open_step(_trainer(), _work())
        old, young, other, _ = self._orders().start
        self._progress(old, version=1)
        self._progress(young, version=2)
        self.scheduler.raise_newest(TrainerId('t'), WeightVersion(3))
        self.scheduler.finish_attempt(other, START)
        orders = self._orders()
        self.assertEqual((old,), orders.cancel)
        restarted = next(a for a in orders.start if a.place == old.place)
        self.assertEqual((), restarted.spans)

    def test_engine_with_old_weights_is_tried_later(self) -> None:
        # An engine whose weight change failed still reports version 1. It gets
        # nothing for a while.
        self.scheduler.set_engines(MODEL, ENGINES[:1])
        self.scheduler.open_step(_trainer(), _work())
        self.scheduler.raise_newest(TrainerId('t'), WeightVersion(3))
        self.assertFalse(self._progress(self._orders().start[0], version=1))
        self.assertEqual((), self._orders(1.0).start)
        self.assertEqual(1, len(self._orders(2.5).start))

    @params((0, 1, 1), (1, 1, 2), (5, 1, 2), (5, 2, 3))
    def test_steps_ahead(self, ahead: int, bound: int, steps: int) -> None:
        # Samples further ahead than the staleness bound would be stale when
        # their step is delivered.
        self.scheduler.set_engines(MODEL, [f'e{n}' for n in range(99)])
        policy = inventory.IdleFirst(steps_ahead=ahead)
        trainer = _trainer(bound=bound, policy=policy)
        works = [_work(number=number) for number in range(1, 6)]
        for work in works:
            self.scheduler.open_step(trainer, work)
        started = {a.plan.work.step for a in self._orders().start}
        self.assertEqual(set(range(1, steps + 1)), started)
        self.scheduler.close_step(works[0])
        started = {a.plan.work.step for a in self._orders().start}
        self.assertEqual({steps + 1}, started)

    def test_shares(self) -> None:
        # Two trainers submit all the time, one with three times the share.
        served: collections.Counter[str] = collections.Counter()
        for name, share in (('a', 3), ('b', 1)):
            for number in range(1, 41):
                trainer = _trainer(name, bound=99, share=share)
                self.scheduler.open_step(trainer, _work(name, number))
        for _ in range(80):
            for attempt in self._orders().start:
                served[attempt.plan.work.trainer] += 1
                self.scheduler.finish_attempt(attempt, START)
                if not attempt.plan.unfilled:
                    self.scheduler.close_step(attempt.plan.work)
            if served.total() >= 120:
                break
        self.assertAlmostEqual(3.0, served['a'] / served['b'], delta=0.3)

    def test_late_trainer_does_not_starve_the_others(self) -> None:
        # Guards against a trainer that catches up on a hundred missed steps
        # before all others.
        for number in range(1, 101):
            work = _work('a', number)
            self.scheduler.open_step(_trainer('a'), work)
            for attempt in self._orders().start:
                self.scheduler.finish_attempt(attempt, START)
            self.scheduler.close_step(work)
        self.scheduler.open_step(_trainer('b'), _work('b', 1))
        self.scheduler.open_step(_trainer('b'), _work('b', 2))
        self.scheduler.open_step(_trainer('a'), _work('a', 101))
        order: list[str] = []
        while len(order) < 12:
            for attempt in self._orders().start:
                order.append(attempt.plan.work.trainer)
                self.scheduler.finish_attempt(attempt, START)
        self.assertIn('a', order[4:8])

    def test_an_engine_continues_its_group(self) -> None:
        # Members of a group share their prompt, which the engine caches.
        self.scheduler.open_step(_trainer(), _work(groups=8))
        first = self._orders().start[0]
        self.scheduler.finish_attempt(first, START)
        following = self._orders().start[0]
        self.assertEqual(first.place.group, following.place.group)
        self.assertEqual(first.engine, following.engine)

    def test_closed_step_is_released(self) -> None:
        # Guards against a memory leak: a step may hold megabytes of samples.
        work = _work()
        self.scheduler.open_step(_trainer(), work)
        for attempt in self._orders().start:
            self.scheduler.finish_attempt(attempt, START)
        self.scheduler.close_step(work)
        self._orders()
        kept = weakref.ref(work)
        del work, attempt
        gc.collect()
        self.assertIsNone(kept())

    def test_settled_step_is_cancelled(self) -> None:
        work = _work(groups=2, spare=1)
        self.scheduler.open_step(_trainer(), work)
        running = set(self._orders().start)
        self.scheduler.cancel_step(work)
        orders = self._orders()
        self.assertEqual(running, set(orders.cancel))
        self.assertEqual((), orders.start)
