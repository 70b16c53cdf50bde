"""Test how thousands of items find their engines at one moment.

The pattern is that of the users' sweep at 100 and 300 instances: 264 and 880
engines of 8 places, three trainers whose steps have 1,000 and 2,000 items. The
holder of the duty has half a core to two; looking at each engine for each item
took it 0.7 and 1.7 ms an item, 1.5 and 10 s for the places that come free when
a step begins, in which no text was generated.
"""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.jobs import engines
from yuccarill.core.jobs import placing

from . import items

NOW = Instant(10.0)
MODELS = ('m', 'n')
# Looks at engines for one item; each place taken costs the sorted order of
# one engine, and each engine is looked at once for each model and age.
MAX_LOOKS = 6


class CountedFleet(engines.EngineFleet):
    """Count how often an engine is looked at."""

    looks = 0

    def can_run(self, *args: object, **more: object) -> bool:
        self.looks += 1
        return super().can_run(*args, **more)


def random_fleet(draw: random.Random) -> engines.EngineFleet:
    """Return engines that differ in all that choosing goes by."""
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
                engine.saw_gap(gap, Instant(at))
        if draw.random() < 0.1:
            engine.fail(NOW)
        if draw.random() < 0.2:
            engine.switching.add(ModelName('n'))
    return fleet


class PlacingTest(unittest.TestCase):
    def test_each_item_gets_the_engine_that_is_fastest_then(self) -> None:
        """The same as looking at every engine for every item."""
        for seed in range(300):
            draw = random.Random(seed)
            fleet = random_fleet(draw)
            found = placing.Placing(fleet, NOW)
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

    # Other contents at engines, those barred, and the choice among e0, of
    # one run, e1 and e2.
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
        found = placing.Placing(fleet, NOW)
        for _ in range(2):
            engine = found.choose(items.make_job(model='m'), others, barred)
            self.assertEqual(expected, engine and engine.target.id)

    def test_free_places_are_those_of_the_others(self) -> None:
        for seed in range(100):
            draw = random.Random(seed)
            fleet = random_fleet(draw)
            job = items.make_job(model='m')
            found = placing.Placing(fleet, NOW)
            for engine in fleet.engines_by_id.values():
                if draw.random() < 0.2:
                    # It failed, and is left out from now on.
                    failed = draw.choice(list(fleet.engines_by_id.values()))
                    failed.fail(NOW)
                    found.leave_out(failed)
                naive = sum(
                    other.target.slots - other.running
                    for other in fleet.engines_by_id.values()
                    if other is not engine
                    and fleet.can_run(other, job, NOW)
                    and not fleet.is_slow(other, NOW)
                )
                self.assertEqual(naive, found.free_places(job, engine))

    # Engines, and items of three trainers.
    @params((22, 300), (264, 3000), (880, 6000))
    def test_an_item_costs_a_few_looks(self, count: int, many: int) -> None:
        fleet = CountedFleet()
        fleet.update(
            items.make_target(f'e{number}', slots=8, m=1)
            for number in range(count)
        )
        found = placing.Placing(fleet, NOW)
        job = items.make_job(model='m')
        placed = 0
        for _ in range(many):
            engine = found.choose(job)
            if engine is None:
                break
            engine.runs_by_model[ModelName('m')] += 1
            placed += 1
        self.assertEqual(min(many, count * 8), placed)
        self.assertLessEqual(fleet.looks, count + MAX_LOOKS * placed)
