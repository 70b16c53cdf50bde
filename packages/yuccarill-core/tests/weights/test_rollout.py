"""Test rollouts of versions to all engines, also against a naive model."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from nose2.tools import params

from weights import fleet as fleet_module
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import TargetId
from yuccarill.core.weights import capacity


def build(
    count: int = 12, centres: int = 3, part: float = 0.5, shards: int = 4
) -> fleet_module.Fleet:
    engines = [
        fleet_module.FakeEngine(
            TargetId(f'e{n}'), DataCentreId(f'dc{n % centres}'), n % 2 == 0
        )
        for n in range(count)
    ]
    return fleet_module.Fleet(engines, shards, part, rate=10.0)


class NaiveRollout:
    """Naive reference model: switch one engine after the other."""

    def __init__(self, versions: dict[str, int]) -> None:
        self.versions = versions

    def run(self, newest: int) -> dict[str, int]:
        return {name: max(v, newest) for name, v in self.versions.items()}


class RolloutTest(unittest.TestCase):
    @params((1, 1, 0.5), (2, 2, 0.9), (5, 3, 0.6), (30, 4, 0.8), (7, 2, 0.0))
    def test_keeps_min_serving(self, count: int, centres: int, part: float):
        fleet = build(count, centres, part)
        fleet.store_newest = 2
        self.assertTrue(fleet.run(120, fleet.is_done))
        self.assertEqual([], fleet.faults)

    @params(0, 300)
    def test_no_engine_switches_before_all_have_staged(self, idle: int):
        # Switching each engine once it has staged would spread the switch
        # over the whole staging time.
        fleet = build(30, 3, 0.5)
        fleet.run(idle, lambda: False)
        fleet.store_newest = 2
        fleet.run(120, fleet.is_done)
        self.assertGreater(min(fleet.switched_at), max(fleet.downloads))

    def test_store_is_read_at_its_rate(self) -> None:
        fleet = build(60, 3, 0.5)
        fleet.store_newest = 2
        fleet.run(120, fleet.is_done)
        for start in fleet.downloads:
            window = [d for d in fleet.downloads if start <= d < start + 1]
            self.assertLessEqual(len(window), 10)

    def test_failing_engine_is_retried_after_a_pause(self) -> None:
        # An engine that fails every switch must not be out of service all
        # the time, nor keep the others on the old version.
        fleet = build(4, 2, 0.5)
        fleet.store_newest = 2
        fleet.engines[0].failures_left = 10**6
        fleet.run(50, fleet.is_done)
        self.assertEqual([1, 2, 2, 2], [e.version for e in fleet.engines])
        self.assertLess(fleet.orders_sent, 6 + 6)

    def test_frequent_versions_do_not_postpone_the_switch(self) -> None:
        # Versions that arrive as fast as they are staged must not postpone
        # the switch forever.
        fleet = build(6, 2, 0.5)
        for n in range(60):
            fleet.at(
                2.0 * n, lambda v=n + 2: setattr(fleet, 'store_newest', v)
            )
        fleet.run(100, lambda: False)
        self.assertGreater(min(e.version for e in fleet.engines), 20)

    @seed(4)
    @settings(max_examples=40, deadline=None, database=None)
    @given(strategies.data())
    def test_ends_as_the_naive_version(self, data) -> None:
        # Under random faults the rollout must end with the same versions as
        # the naive model without faults.
        count = data.draw(strategies.integers(1, 9))
        part = data.draw(strategies.sampled_from([0.0, 0.5, 0.8, 1.0]))
        fleet = build(count, 2, part, shards=3)
        fleet.store_newest = 2
        for _ in range(data.draw(strategies.integers(0, 6))):
            delay = data.draw(strategies.floats(0, 20))
            fleet.at(delay, self._draw_fault(data, fleet))
        expected = NaiveRollout({e.name: e.version for e in fleet.engines})
        fleet.run(40, lambda: False)
        self.assertTrue(fleet.run(400, fleet.is_done))
        found = {e.name: e.version for e in fleet.engines}
        self.assertEqual(expected.run(fleet.store_newest), found)
        self.assertEqual([], fleet.faults)

    def _draw_fault(self, data, fleet):
        engine = data.draw(strategies.sampled_from(fleet.engines))
        holder = next(h for h in fleet.holders if engine in h.engines)
        return data.draw(
            strategies.sampled_from(
                [
                    lambda: engine.restart(1),
                    lambda: fleet.crash_holder(holder),
                    lambda: fleet.pause_holder(holder),
                    fleet.crash_model_holder,
                    lambda: setattr(engine, 'failures_left', 3),
                    lambda: setattr(engine, 'lost_replies', 2),
                    lambda: setattr(engine, 'lost_orders', 2),
                    lambda: setattr(fleet, 'store_newest', 3),
                ]
            )
        )


class MinServingTest(unittest.TestCase):
    @params((0, 0.5, 0), (1, 1.0, 0), (5, 0.6, 3), (10, 0.8, 8), (3, 1.0, 2))
    def test_min_serving(self, count: int, part: float, expected: int) -> None:
        self.assertEqual(expected, capacity.min_serving(count, part))
