"""Test the estimate of the true time from wrong clocks."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.usage import fleet_time


class AgreedOffsetTest(unittest.TestCase):
    # Offsets of wall clocks, offset agreed before, expected offset.
    @params(
        # One clock and no earlier offset.
        ([7.0], None, 7.0),
        # One clock jumps: the earlier offset is kept.
        ([9.0], 7.0, 7.0),
        ([7.1], 7.0, 7.0),
        # Two clocks agree, or the earlier offset is kept.
        ([7.0, 7.1], None, 7.05),
        ([7.0, 9.0], 7.0, 7.0),
        ([5.0, 7.0], 7.0, 7.0),
        # Both clocks were corrected.
        ([9.0, 9.0], 7.0, 9.0),
        # One of many clocks is wrong.
        ([7.0, 7.0, 9.0], None, 7.0),
        ([5.0, 7.0, 7.1], 7.0, 7.0),
        # A third of many jump together.
        ([7.0] * 7 + [9.0] * 3, 7.0, 7.0),
        ([5.0] * 3 + [7.0] * 7, None, 7.0),
        # Half of the clocks jump: the earlier offset is kept.
        ([7.0] * 5 + [9.0] * 5, 7.0, 7.0),
        ([5.0] * 5 + [7.0] * 5, 7.0, 7.0),
        # Some clocks are ahead, some behind.
        ([5.0] * 3 + [7.0] * 4 + [9.0] * 3, 7.0, 7.0),
    )
    def test_offset(
        self, offsets: list[float], before: float | None, expected: float
    ) -> None:
        found = fleet_time.agreed_offset(offsets, before)
        self.assertAlmostEqual(expected, found, delta=0.11)

    def test_half_of_all_clocks_without_an_earlier_offset(self) -> None:
        # Either half may be right, but not the mean of both.
        found = fleet_time.agreed_offset([7.0, 7.0, 9.0, 9.0], None)
        self.assertIn(found, (7.0, 9.0))
