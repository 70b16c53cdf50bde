"""Test how a large service is divided among several holders.

Each engine must have one holder, parts must be even, and divisions stored by
older versions must be readable.
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
    # Engines, parts.
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
    def test_number_of_parts(self, engines: int, expected: int) -> None:
        found = partitions.division_for(engines)
        self.assertEqual(expected, found.parts)
        self.assertEqual(expected > 1, found.is_by_items)

    # Listed engines, seconds without a new one. Many engines need two polls of
    # a peer's copy.
    @params((1, 1.0), (99, 1.0), (100, 3.2), (570, 3.2), (1710, 3.2))
    def test_settle_seconds(self, engines: int, expected: float) -> None:
        self.assertEqual(expected, partitions.settle_seconds(engines))

    # Number of parts stored by an older version, whether jobs are split.
    @params((1, False), (3, False))
    def test_a_plain_number_divides_by_models(
        self, parts: int, is_by_items: bool
    ) -> None:
        """Guards against the loss of open jobs of an older version."""
        found = partitions.decode(msgspec.msgpack.encode(parts))
        self.assertEqual(
            (parts, is_by_items), (found.parts, found.is_by_items)
        )

    def test_an_undivided_service_is_encoded_as_a_number(self) -> None:
        value = partitions.encode(partitions.division_for(45))
        self.assertEqual(1, msgspec.msgpack.decode(value))

    def test_a_division_is_decoded_as_encoded(self) -> None:
        division = partitions.division_for(2667)
        value = partitions.encode(division)
        self.assertEqual(division, partitions.decode(value))
        with self.assertRaises(msgspec.MsgspecError):
            partitions.decode(b'\xa1x')

    @params(1, 2, 3, 7, 9, 15)
    def test_each_engine_has_one_holder(self, count: int) -> None:
        """Guards against two holders that corrupt the weights of an engine."""
        parts = partitions.part_names(S, count)
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
        parts = [
            partitions.part_of_model(S, model, MODELS, 3) for model in MODELS
        ]
        self.assertEqual(sorted(partitions.part_names(S, 3)), sorted(parts))
        for part in parts:
            self.assertEqual(S, partitions.service_of_part(part))

    def test_a_single_part_has_the_name_of_its_service(self) -> None:
        # Keeps the keys and logs of undivided services stable.
        self.assertEqual([S], partitions.part_names(S, 1))
        self.assertEqual(S, partitions.part_of_model(S, MODELS[0], MODELS, 1))

    def test_an_unlisted_model_has_a_part(self) -> None:
        part = partitions.part_of_model(S, ModelName('new'), MODELS, 3)
        self.assertIn(part, partitions.part_names(S, 3))
