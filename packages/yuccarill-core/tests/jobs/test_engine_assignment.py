"""Test the placement of thousands of items at once.

Guards against a scan of all engines for each item, which delays all texts at
the start of a step by seconds on a large fleet.
"""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.jobs import engine_assignment
from yuccarill.core.jobs import engines

from . import items

NOW = Instant(10.0)
MODELS = ('m', 'n')
# Maximum checks of engines per placed item, beside one check of each engine.
MAX_CHECKS = 6


class CountedFleet(engines.EngineFleet):
    """Count the checks of engines."""

    checks = 0

    def can_run(self, *args: object, **more: object) -> bool:
        self.checks += 1
        return super().can_run(*args, **more)


def random_fleet(draw: random.Random) -> engines.EngineFleet:
    """Return engines with random slots, versions, paces and failures."""
    fleet = items.make_fleet(
        *(
            items.make_target(
                f'e{number}',
                slots=draw.randrange(1, 5),
                is_leaving=draw.random() < 0.1,
                **{model: draw.randrange(1, 4) for model in MODELS},
            )
            for number in range(draw.randrange(1, 20))
        )
    )
    for engine in fleet.engines_by_id.values():
        if draw.random() < 0.7:
            gap = draw.choice((0.04, 0.05, 0.2))
            for at in (9.0, 9.5, 9.9):
                engine.record_gap(gap, Instant(at))
        if draw.random() < 0.1:
            engine.fail(NOW)
        if draw.random() < 0.2:
            engine.switching_models.add(ModelName('n'))
    return fleet


class EngineAssignmentTest(unittest.TestCase):
    def test_each_item_gets_the_cheapest_engine(self) -> None:
        """Compare with a scan of all engines for every item."""
        for seed in range(300):
            draw = random.Random(seed)
            fleet = random_fleet(draw)
            found = engine_assignment.EngineAssigner(fleet, NOW)
            for _ in range(60):
                job = items.make_job(
                    model=draw.choice(MODELS), min_version=draw.randrange(1, 4)
                )
                chosen = found.choose(job)
                naive = fleet.choose(job, NOW)
                if naive is None or chosen is None:
                    self.assertIs(naive, chosen)
                    continue
                self.assertEqual(
                    fleet.cost(naive, NOW), fleet.cost(chosen, NOW)
                )
                chosen.runs_by_model[job.model] += 1
                if draw.random() < 0.05:
                    chosen.fail(NOW)

    # Other contents by engine, barred engines, and the expected choice; e0 has
    # one run, e1 and e2 are idle.
    @params(
        ({}, (), 'e1'),
        ({'e1': 1}, (), 'e2'),
        ({'e1': 1, 'e2': 1}, (), 'e0'),
        ({'e0': 2, 'e1': 3, 'e2': 1}, (), 'e2'),
        ({'e0': 2, 'e1': 3, 'e2': 1}, ('e2',), 'e0'),
        ({'e0': 1, 'e1': 1, 'e2': 1}, ('e0', 'e1', 'e2'), None),
    )
    def test_engines_without_others_come_first(
        self, others: dict, barred: tuple[str, ...], expected: str | None
    ) -> None:
        fleet = items.make_fleet(
            *(items.make_target(f'e{number}') for number in range(3))
        )
        fleet.engines_by_id['e0'].runs_by_model[ModelName('m')] += 1
        found = engine_assignment.EngineAssigner(fleet, NOW)
        for _ in range(2):
            engine = found.choose(items.make_job(model='m'), others, barred)
            self.assertEqual(expected, engine and engine.target.id)

    def test_free_places_are_those_of_other_engines(self) -> None:
        for seed in range(100):
            draw = random.Random(seed)
            fleet = random_fleet(draw)
            job = items.make_job(model='m')
            found = engine_assignment.EngineAssigner(fleet, NOW)
            for engine in fleet.engines_by_id.values():
                if draw.random() < 0.2:
                    failed = draw.choice(list(fleet.engines_by_id.values()))
                    failed.fail(NOW)
                    found.exclude_engine(failed)
                naive = sum(
                    other.target.slots - other.running
                    for other in fleet.engines_by_id.values()
                    if other is not engine
                    and fleet.can_run(other, job, NOW)
                    and not fleet.is_slow(other, NOW)
                )
                self.assertEqual(naive, found.free_slots(job, engine))

    # Number of engines and of items.
    @params((22, 300), (264, 3000), (880, 6000))
    def test_an_item_costs_few_checks(self, count: int, total: int) -> None:
        fleet = CountedFleet()
        fleet.update(
            items.make_target(f'e{number}', slots=8, m=1)
            for number in range(count)
        )
        found = engine_assignment.EngineAssigner(fleet, NOW)
        job = items.make_job(model='m')
        placed = 0
        for _ in range(total):
            engine = found.choose(job)
            if engine is None:
                break
            engine.runs_by_model[ModelName('m')] += 1
            placed += 1
        self.assertEqual(min(total, count * 8), placed)
        self.assertLessEqual(fleet.checks, count + MAX_CHECKS * placed)
