"""Test what the true time is taken to be, whatever clocks show."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.usage import fleet_time


class AgreedOffsetTest(unittest.TestCase):
    # Offsets of wall clocks, what was agreed before, what is agreed now.
    @params(
        # One clock, and nothing before: there is no other.
        ([7.0], None, 7.0),
        # Its machine's clock jumps: what was agreed goes on.
        ([9.0], 7.0, 7.0),
        ([7.1], 7.0, 7.0),
        # Two instances only: they agree, or what was agreed goes on.
        ([7.0, 7.1], None, 7.05),
        ([7.0, 9.0], 7.0, 7.0),
        ([5.0, 7.0], 7.0, 7.0),
        # Both were set right after both had been wrong.
        ([9.0, 9.0], 7.0, 9.0),
        # One of many is off, whichever way.
        ([7.0, 7.0, 9.0], None, 7.0),
        ([5.0, 7.0, 7.1], 7.0, 7.0),
        # A third of many jump together.
        ([7.0] * 7 + [9.0] * 3, 7.0, 7.0),
        ([5.0] * 3 + [7.0] * 7, None, 7.0),
        # Half of them: what was agreed before tells which half.
        ([7.0] * 5 + [9.0] * 5, 7.0, 7.0),
        ([5.0] * 5 + [7.0] * 5, 7.0, 7.0),
        # Some ahead, some behind.
        ([5.0] * 3 + [7.0] * 4 + [9.0] * 3, 7.0, 7.0),
    )
    def test_offset(
        self, offsets: list[float], before: float | None, expected: float
    ) -> None:
        found = fleet_time.agreed_offset(offsets, before)
        self.assertAlmostEqual(expected, found, delta=0.11)

    def test_half_of_all_clocks_and_nothing_before(self) -> None:
        # Nobody can tell which half is right; it is one of them, not between.
        found = fleet_time.agreed_offset([7.0, 7.0, 9.0, 9.0], None)
        self.assertIn(found, (7.0, 9.0))
