"""Test the choice of targets."""

from __future__ import annotations

import collections
import random
import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from nose2.tools import params

from yuccarill.core.calls.load import LoadReport
from yuccarill.core.calls import pool
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

HERE = DataCentreId('here')
AWAY = DataCentreId('away')
START = Instant(100.0)
IDLE = LoadReport(0, 0)


def targets(count: int, centre: DataCentreId = HERE) -> dict:
    return {TargetId(f'{centre}{n}'): centre for n in range(count)}


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = pool.Pool(pool.RoutingPolicy(), random.Random(5))

    def counts(self, calls: int, now: float = START) -> collections.Counter:
        found: collections.Counter = collections.Counter()
        for _ in range(calls):
            target = self.pool.choose(Instant(now))
            assert target is not None
            self.pool.record_send(target)
            found[target] += 1
        return found

    def test_prefers_the_own_data_centre_until_it_is_loaded(self) -> None:
        near, far = targets(4), targets(4, AWAY)
        self.pool.update({**near, **far}, HERE, START)
        first = self.counts(4)
        self.assertLessEqual(set(first), set(near))
        self.assertTrue(set(far) & set(self.counts(12)))

    def test_spreads_calls_evenly(self) -> None:
        self.pool.update(targets(100), HERE, START)
        counts = self.counts(1000)
        # Two random choices keep the maximum within a few calls of the mean;
        # one would leave it at about twice the mean.
        self.assertLessEqual(max(counts.values()), 13)

    def test_removed_target_gets_no_new_work(self) -> None:
        # Guard against a removed target that is chosen again once a call in
        # flight ends.
        self.pool.update(targets(3), HERE, START)
        removed = TargetId('here0')
        self.pool.record_send(removed)
        self.pool.update(
            {t: HERE for t in targets(3) if t != removed}, HERE, START
        )
        self.pool.record_answer(removed, 0.1, IDLE, START)
        self.assertNotIn(removed, self.counts(20))

    @params(
        ([pool.Failure.NOT_CONNECTED], True),
        ([pool.Failure.DISCONNECTED], True),
        ([pool.Failure.TIMED_OUT], False),
        ([pool.Failure.TIMED_OUT, pool.Failure.TIMED_OUT], True),
        ([pool.Failure.TIMED_OUT, None, pool.Failure.TIMED_OUT], False),
    )
    def test_ejects_failing_targets(
        self, outcomes: list[pool.Failure | None], expected: bool
    ) -> None:
        self.pool.update(targets(4), HERE, START)
        failing = TargetId('here0')
        for outcome in outcomes:
            self.pool.record_send(failing)
            if outcome is None:
                self.pool.record_answer(failing, 0.1, None, START)
            else:
                self.pool.record_failure(failing, outcome, START)
        self.assertEqual(3 if expected else 4, self.pool.usable)

    def test_keeps_a_floor_if_all_targets_fail(self) -> None:
        # Guard against a network partition that ejects every target.
        self.pool.update(targets(10), HERE, START)
        for target in targets(10):
            self.pool.record_failure(target, pool.Failure.NOT_CONNECTED, START)
        self.assertEqual(5, self.pool.usable)

    def test_ramps_up_an_ejected_target(self) -> None:
        # Guard against a returned target with cold caches that gets all new
        # calls.
        self.pool.update(targets(2), HERE, START)
        failing = TargetId('here0')
        self.pool.record_failure(failing, pool.Failure.NOT_CONNECTED, START)
        self.assertEqual({'here1': 2}, self.counts(2))
        returned = self.counts(2, START + 1.1)
        self.assertEqual(2, self.pool.usable)
        self.assertLessEqual(returned[failing], 1)
        later = self.counts(4, START + 20.0)
        self.assertGreaterEqual(later[failing], 2)

    def test_avoids_a_slow_target(self) -> None:
        self.pool.update(targets(2), HERE, START)
        # A slow target answers fewer calls in the same time.
        outcomes = [('here0', 5.0)] + [('here1', 0.1)] * 5
        for target, seconds in outcomes * 5:
            self.pool.record_send(TargetId(target))
            self.pool.record_answer(TargetId(target), seconds, None, START)
        self.assertEqual({'here1': 3}, self.counts(3))

    def test_adds_calls_sent_since_a_report(self) -> None:
        # Guard against sending all calls to a target with an outdated idle
        # report.
        self.pool.update(targets(2), HERE, START)
        self.pool.record_send(TargetId('here0'))
        self.pool.record_answer(TargetId('here0'), 0.1, IDLE, START)
        counts = self.counts(10)
        self.assertEqual(5, counts['here0'])

    @seed(5)
    @settings(deadline=None, database=None, max_examples=100)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['update', 'send', 'end', 'fail']),
                strategies.integers(0, 63),
            ),
            max_size=80,
        )
    )
    def test_matches_a_pool_that_scans_all_targets(
        self, operations: list[tuple[str, int]]
    ) -> None:
        # Model: the set of eligible targets, computed anew for each choice.
        tested_pool = pool.Pool(pool.RoutingPolicy(), random.Random(7))
        names = [TargetId(str(n)) for n in range(6)]
        known: set[TargetId] = set()
        now = START
        ejected: dict[TargetId, Instant] = {}
        for operation, value in operations:
            now = Instant(now + 0.125)
            for name in [n for n, until in ejected.items() if until <= now]:
                del ejected[name]
            if operation == 'update':
                known = {n for i, n in enumerate(names) if value >> i & 1}
                tested_pool.update({n: HERE for n in known}, HERE, now)
                ejected = {n: u for n, u in ejected.items() if n in known}
            elif operation == 'fail' and known:
                name = sorted(known)[value % len(known)]
                before = tested_pool.usable
                tested_pool.choose(now)
                tested_pool.record_failure(
                    name, pool.Failure.DISCONNECTED, now
                )
                if name not in ejected and tested_pool.usable < before:
                    ejected[name] = Instant(now + 1.0)
            usable = known - set(ejected)
            tried = frozenset(names[: value % 4])
            target = tested_pool.choose(now, tried)
            if target is None:
                # The model does not know that repeated ejections last longer.
                self.assertLessEqual(usable - tried, known)
            else:
                self.assertIn(target, known - tried)
                if operation == 'send':
                    tested_pool.record_send(target)
                elif operation == 'end':
                    tested_pool.record_answer(
                        target, 0.1, LoadReport(value, 0), now
                    )


class ConnectedTest(unittest.TestCase):
    """Test the choice among many targets of which one is connected."""

    def setUp(self) -> None:
        self.pool = pool.Pool(pool.RoutingPolicy(), random.Random(5))
        self.pool.update(targets(17), HERE, START)
        self.connected = TargetId('here3')

    def choose(self, **options: object) -> TargetId | None:
        return self.pool.choose(START, connected={self.connected}, **options)

    def test_reuses_an_open_connection(self) -> None:
        found = {self.choose() for _ in range(50)}
        self.assertEqual({self.connected}, found)

    def test_does_not_queue_for_an_open_connection(self) -> None:
        self.pool.record_send(self.connected)
        self.assertNotIn(self.connected, {self.choose() for _ in range(50)})

    def test_does_not_prefer_a_slow_target(self) -> None:
        for target in targets(17):
            seconds = 0.4 if target == self.connected else 0.1
            for _ in range(20):
                self.pool.record_send(target)
                self.pool.record_answer(target, seconds, None, START)
        self.assertNotIn(self.connected, {self.choose() for _ in range(50)})

    def test_does_not_choose_a_tried_or_ejected_target(self) -> None:
        self.assertNotEqual(
            self.connected, self.choose(tried=frozenset({self.connected}))
        )
        self.pool.record_send(self.connected)
        self.pool.record_failure(
            self.connected, pool.Failure.DISCONNECTED, START
        )
        self.assertNotEqual(self.connected, self.choose())

    def test_does_not_choose_a_removed_target(self) -> None:
        rest = targets(17)
        del rest[self.connected]
        self.pool.update(rest, HERE, START)
        self.assertNotEqual(self.connected, self.choose())

    def test_prefers_a_near_target_to_a_connected_far_one(self) -> None:
        self.pool.update({**targets(4), **targets(4, AWAY)}, HERE, START)
        self.connected = TargetId('away1')
        self.assertNotEqual(self.connected, self.choose())
