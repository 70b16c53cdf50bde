"""Test that overloaded engines complete as many groups in time as they can.

Scenarios: trainers of unequal size on engines of unequal speed, pauses of
engines, a third of the engines slow for 16 s, and three times the groups that
the engines can complete.
"""

from __future__ import annotations

import math
import unittest

from nose2.tools import params

from . import trainer_model

CALM = trainer_model.Slowness()
PAUSES = trainer_model.Slowness(pause_fraction=0.15)
FAULT = trainer_model.Slowness(
    pause_fraction=0.15, faulty_fraction=0.34, faulty_factor=2.2
)
SEEDS = (1, 2)


def trainers(times: int) -> list[trainer_model.Trainer]:
    """Return trainers of unequal size, their groups multiplied by `times`."""
    return [
        trainer_model.Trainer(
            name=name, groups=groups * times, size=size, mean_events=mean
        )
        for name, groups, size, mean in (
            ('a', 4, 16, 15.0),
            ('b', 3, 16, 5.0),
            ('c', 7, 8, 15.0),
            ('d', 5, 8, 15.0),
        )
    ]


def play(
    engines: int,
    times: int,
    slowness: trainer_model.Slowness,
    is_planned: bool,
    seed: int,
    seconds: float = 40.0,
) -> trainer_model.TrainerModel:
    model = trainer_model.TrainerModel(
        engines, 8, trainers(times), slowness, is_planned, seed, seconds
    )
    model.play()
    return model


def longest(models: list[trainer_model.TrainerModel]) -> float:
    """Return the 99th percentile of the steps' seconds."""
    found = sorted(s for model in models for s in model.step_seconds)
    return found[math.ceil(0.99 * len(found)) - 1]


class TrainersTest(unittest.TestCase):
    @params(('calm', CALM), ('pauses', PAUSES), ('fault', FAULT))
    def test_steps_that_fit_end_no_later(
        self, name: str, slowness: trainer_model.Slowness
    ) -> None:
        seconds = {}
        for is_planned in (False, True):
            models = [play(8, 1, slowness, is_planned, s) for s in SEEDS]
            seconds[is_planned] = longest(models)
            for model in models:
                for trainer in model.trainers:
                    # At least nine tenths of the wanted groups.
                    if is_planned:
                        self.assertGreaterEqual(model.served(trainer), 0.9)
        self.assertLessEqual(seconds[True], seconds[False], name)

    @params(('pauses', PAUSES), ('fault', FAULT))
    def test_fitting_groups_are_in_time_under_overload(
        self, name: str, slowness: trainer_model.Slowness
    ) -> None:
        """Guards against steps that all miss their deadline."""
        served = {}
        for is_planned in (False, True):
            served[is_planned] = sum(
                model.served(trainer)
                for seed in SEEDS[:1]
                for model in (play(11, 3, slowness, is_planned, seed, 24.0),)
                for trainer in model.trainers
            )
        # At least a fifth more than without a plan.
        self.assertGreater(served[True], 1.2 * served[False], name)

    def test_a_flood_does_not_delay_another_trainer(self) -> None:
        """Guards against starvation, also before any text has ended."""
        served = {}
        for is_alone in (False, True):
            served[is_alone] = 0.0
            for seed in SEEDS:
                both = [
                    trainer_model.Trainer(name='flood', groups=60, size=8),
                    trainer_model.Trainer(name='small', groups=10, size=8),
                ]
                model = trainer_model.TrainerModel(
                    8, 8, both[is_alone:], CALM, True, seed
                )
                model.play()
                served[is_alone] += model.served('small')
        self.assertGreaterEqual(served[False], 0.9 * served[True])
