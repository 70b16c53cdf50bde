"""Test which engines change to which weight versions."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import engines
from yuccarill.core.jobs import weights

from . import items

NOW = Instant(0.0)


def announced(**versions: int) -> dict[ModelName, WeightVersion]:
    return {ModelName(m): WeightVersion(v) for m, v in versions.items()}


def fleet_of(count: int, **versions: int) -> engines.EngineFleet:
    return items.make_fleet(
        *(items.make_target(f'e{n}', **versions) for n in range(count))
    )


class AssignmentTest(unittest.TestCase):
    @params((5, 3, 2), (6, 1, 6), (1, 3, 1), (9, 3, 3), (23, 3, 8))
    def test_each_model_has_its_share(
        self, engine_count: int, model_count: int, expected: int
    ) -> None:
        fleet = fleet_of(engine_count, m=1)
        models = [ModelName(f'm{n}') for n in range(model_count)]
        ready = list(fleet.engines_by_id.values())
        found = weights.assign_engines(fleet, ready, models, {}, NOW)
        for model in models:
            self.assertEqual(expected, len(found[model]))

    # Engines of 4 slots, items per step, and engines that follow the model.
    @params((23, 0, 8), (23, 40, 8), (23, 64, 12), (23, 500, 23), (5, 8, 2))
    def test_large_steps_get_enough_slots(
        self, engine_count: int, item_count: int, expected: int
    ) -> None:
        """Guards against a step that runs in rounds on its even share."""
        fleet = fleet_of(engine_count, a=1)
        models = [ModelName(name) for name in 'abc']
        ready = list(fleet.engines_by_id.values())
        items_by_model = {ModelName('a'): item_count}
        found = weights.assign_engines(
            fleet, ready, models, items_by_model, NOW
        )
        self.assertEqual(expected, len(found[ModelName('a')]))

    def test_models_are_spread_over_the_engines(self) -> None:
        fleet = fleet_of(6, a=1, b=1, c=1)
        models = [ModelName(name) for name in 'abc']
        ready = list(fleet.engines_by_id.values())
        found = weights.assign_engines(fleet, ready, models, {}, NOW)
        used = [e.target.id for followers in found.values() for e in followers]
        self.assertEqual(6, len(set(used)))

    def test_an_engine_that_leaves_changes_only_its_own_models(self) -> None:
        fleet = fleet_of(6, a=1, b=1, c=1)
        models = [ModelName(name) for name in 'abc']
        ready = list(fleet.engines_by_id.values())
        before = weights.assign_engines(fleet, ready, models, {}, NOW)
        for model, followers in before.items():
            for engine in followers:
                engine.record_version(model, WeightVersion(4))
        left = [e for e in ready if e is not before[ModelName('a')][0]]
        after = weights.assign_engines(fleet, left, models, {}, NOW)
        for name in 'bc':
            model = ModelName(name)
            ids = {e.target.id for e in before[model]}
            self.assertEqual(ids, {e.target.id for e in after[model]})


class NextSwitchesTest(unittest.TestCase):
    def test_engines_with_the_version_do_not_change(self) -> None:
        fleet = fleet_of(3, m=2)
        self.assertEqual(
            [], weights.next_switches(fleet, announced(m=2), {}, NOW)
        )

    @params((2, 1), (5, 2), (10, 4))
    def test_few_engines_change_at_a_time(
        self, count: int, expected: int
    ) -> None:
        fleet = fleet_of(count, m=1)
        found = weights.next_switches(fleet, announced(m=2), {}, NOW)
        self.assertEqual(expected, len(found))

    def test_one_engine_keeps_serving(self) -> None:
        """Guards against a step without an engine while both change."""
        fleet = fleet_of(2, m=1)
        (switch,) = weights.next_switches(fleet, announced(m=2), {}, NOW)
        fleet.engines_by_id[switch.engine].switching_models.add(switch.model)
        self.assertEqual(
            [], weights.next_switches(fleet, announced(m=2), {}, NOW)
        )

    def test_engines_that_serve_nothing_change_immediately(self) -> None:
        fleet = fleet_of(3, m=1)
        found = weights.next_switches(fleet, announced(m=5), {}, NOW)
        self.assertEqual(2, len(found))

    def test_the_model_furthest_behind_goes_first(self) -> None:
        fleet = fleet_of(4, a=1, b=5)
        found = weights.next_switches(fleet, announced(a=4, b=6), {}, NOW)
        self.assertEqual('a', found[0].model)

    def test_failed_engines_come_last(self) -> None:
        fleet = fleet_of(3, a=1, b=1)
        for engine in fleet.engines_by_id.values():
            if engine.target.id != TargetId('e0'):
                engine.record_version(ModelName('a'), WeightVersion(2))
        failed = fleet.engines_by_id[TargetId('e1')]
        failed.fail(NOW)
        found = weights.assign_engines(
            fleet,
            list(fleet.engines_by_id.values()),
            [ModelName('a')],
            {},
            NOW,
        )
        self.assertEqual('e1', found[ModelName('a')][-1].target.id)
