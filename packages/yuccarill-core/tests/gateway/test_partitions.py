"""Test how a large service is divided among several holders.

The pattern is that of the users' sweep at 300 instances: 1,710 engines, three
trainers. One holder sent 17.9 MB a second and served 0.33 of what came; three
served 0.64 and 0.82 in two runs.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import partitions
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId

S = ServiceName('s')
MODELS = [ModelName(name) for name in ('m1', 'm0', 'm2')]


class PartitionTest(unittest.TestCase):
    # Engines, models, holders.
    @params((5, 3, 1), (45, 3, 1), (570, 3, 1), (1000, 3, 3), (1700, 3, 3))
    def test_how_many_holders(
        self, engines: int, models: int, expected: int
    ) -> None:
        self.assertEqual(expected, partitions.count_for(engines, models))

    # Engines that are listed, seconds in which there must be no more of them:
    # a second where they are few, two looks at a peer's copy of 1.5 s else.
    @params((1, 1.0), (99, 1.0), (100, 3.2), (570, 3.2), (1710, 3.2))
    def test_how_long_engines_have_to_be_all(
        self, engines: int, expected: float
    ) -> None:
        self.assertEqual(expected, partitions.settle_seconds(engines))

    def test_a_service_without_models_has_one(self) -> None:
        self.assertEqual(1, partitions.count_for(1000, 0))

    @params(1, 2, 3, 7)
    def test_each_engine_has_one_holder(self, count: int) -> None:
        """Two holders that order one engine break its weights."""
        parts = partitions.names(S, count)
        self.assertEqual(count, len(set(parts)))
        found = dict.fromkeys(parts, 0)
        for number in range(1700):
            engine = TargetId(f'i-{number:x}')
            (part,) = (
                part
                for part in parts
                if partitions.has_engine(part, count, engine)
            )
            found[part] += 1
        even = 1700 / count
        for share in found.values():
            self.assertLess(abs(share - even), 0.2 * even)

    def test_each_model_has_one_part_and_each_part_a_model(self) -> None:
        parts = [partitions.of_model(S, model, MODELS, 3) for model in MODELS]
        self.assertEqual(sorted(partitions.names(S, 3)), sorted(parts))
        for part in parts:
            self.assertEqual(S, partitions.service_of(part))

    def test_one_part_bears_the_name_of_its_service(self) -> None:
        # So keys and logs of a fleet that is not divided stay as they were.
        self.assertEqual([S], partitions.names(S, 1))
        self.assertEqual(S, partitions.of_model(S, MODELS[0], MODELS, 1))

    def test_a_model_that_is_not_listed_has_a_part(self) -> None:
        part = partitions.of_model(S, ModelName('new'), MODELS, 3)
        self.assertIn(part, partitions.names(S, 3))
