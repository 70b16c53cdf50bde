"""Test the attribution of samples to weight versions."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import sample


class SampleTest(unittest.TestCase):
    @params((2, 0, True), (3, 0, False), (3, 1, True))
    def test_freshness(self, newest: int, bound: int, expected: bool) -> None:
        # Guards against stale samples after a weight change in mid-stream: the
        # oldest span decides.
        spans = sample.append((), WeightVersion(2), (1, 2))
        spans = sample.append(spans, WeightVersion(2), (3,))
        if newest == 3:
            spans = sample.append(spans, WeightVersion(3), (4,))
        made = sample.Sample(
            id=SampleId('s'), group=GroupNumber(0), spans=spans
        )
        self.assertEqual((1, 2, 3), spans[0].tokens)
        found = sample.is_fresh(
            made.oldest_version, WeightVersion(newest), bound
        )
        self.assertIs(expected, found)
