"""Test how a large service is divided among several holders.

The pattern is a service of engines that grows: 1,710 engines with one holder
and with one for each of three models, 2,667 engines of a fleet of 300
instances. What must hold is that each engine has one holder, that holders get
even parts, and that what stands in the store from before is understood.
"""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from yuccarill.core.gateway import partitions
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId

S = ServiceName('s')
MODELS = [ModelName(name) for name in ('m1', 'm0', 'm2')]


class PartitionTest(unittest.TestCase):
    # Engines, holders.
    @params(
        (5, 1),
        (45, 1),
        (570, 1),
        (599, 1),
        (600, 2),
        (888, 3),
        (1710, 6),
        (2667, 9),
        (100_000, 15),
    )
    def test_how_many_holders(self, engines: int, expected: int) -> None:
        found = partitions.division_for(engines)
        self.assertEqual(expected, found.parts)
        self.assertEqual(expected > 1, found.is_by_items)

    # Engines that are listed, seconds in which there must be no more of them:
    # a second where they are few, two looks at a peer's copy of 1.5 s else.
    @params((1, 1.0), (99, 1.0), (100, 3.2), (570, 3.2), (1710, 3.2))
    def test_how_long_engines_have_to_be_all(
        self, engines: int, expected: float
    ) -> None:
        self.assertEqual(expected, partitions.settle_seconds(engines))

    # What an older version wrote, and what it means.
    @params((1, False), (3, False))
    def test_a_plain_number_divides_by_models(
        self, parts: int, is_by_items: bool
    ) -> None:
        """Taken for shares of jobs, open jobs of before would be lost."""
        found = partitions.decode(msgspec.msgpack.encode(parts))
        self.assertEqual(
            (parts, is_by_items), (found.parts, found.is_by_items)
        )

    def test_an_undivided_service_is_told_as_before(self) -> None:
        value = partitions.encode(partitions.division_for(45))
        self.assertEqual(1, msgspec.msgpack.decode(value))

    def test_a_division_is_read_as_it_was_written(self) -> None:
        division = partitions.division_for(2667)
        value = partitions.encode(division)
        self.assertEqual(division, partitions.decode(value))
        with self.assertRaises(msgspec.MsgspecError):
            partitions.decode(b'\xa1x')

    @params(1, 2, 3, 7, 9, 15)
    def test_each_engine_has_one_holder(self, count: int) -> None:
        """Two holders that order one engine break its weights."""
        parts = partitions.names(S, count)
        self.assertEqual(count, len(set(parts)))
        found = dict.fromkeys(parts, 0)
        for number in range(300 * count):
            engine = TargetId(f'i-{number:x}')
            (part,) = (
                part
                for part in parts
                if partitions.has_engine(part, count, engine)
            )
            found[part] += 1
        for share in found.values():
            self.assertLess(abs(share - 300), 0.2 * 300)

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
