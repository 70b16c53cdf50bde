"""Test the number of targets for a load and their data centres."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import DataCentreId
from yuccarill.core.scaling import plan
from yuccarill.core.scaling.plan import TargetKind
from yuccarill.core.scaling import sizing

A, B, C = (DataCentreId(name) for name in 'abc')
CENTRES = (A, B, C)
PRICES = {A: 1.0, B: 0.8, C: 1.25}


def bounds(
    least: int = 1, most: int = 16, revocable_part: float | None = None
) -> plan.ScalingBounds:
    return plan.ScalingBounds(
        least=least,
        most=most,
        boot_seconds=4.0,
        prices_by_centre=PRICES,
        revocable_part=revocable_part,
    )


class SizeTest(unittest.TestCase):
    # Demand in slots, slots per target, price fraction of revocable targets,
    # expected targets in total and regular ones.
    @params(
        (0.0, 6, None, 1, 1),
        (3.0, 6, None, 1, 1),
        (3.1, 6, None, 2, 2),
        (36.0, 6, None, 12, 12),
        (36.0, 6, 0.15, 12, 8),
        (0.1, 6, 0.15, 1, 1),
    )
    def test_half_of_the_slots_are_busy(
        self,
        demand: float,
        slots: int,
        revocable: float | None,
        total: int,
        regular: int,
    ) -> None:
        found = sizing.size(
            sizing.SizingPolicy(),
            bounds(revocable_part=revocable),
            demand,
            slots,
        )
        self.assertEqual((total, regular), (found.total, found.regular))


class SpreadTest(unittest.TestCase):
    # Targets, minimum and maximum per data centre, data centres without
    # capacity, expected targets of a, b and c.
    @params(
        (3, 1, 16, (), (1, 1, 1)),
        (4, 1, 16, (), (1, 2, 1)),
        (5, 1, 16, (), (2, 2, 1)),
        (12, 1, 16, (), (4, 4, 4)),
        (1, 1, 16, (), (1, 1, 1)),
        (0, 0, 16, (), (0, 0, 0)),
        (9, 1, 16, (B,), (4, 1, 4)),
        (9, 1, 3, (), (3, 3, 3)),
        (99, 1, 3, (), (3, 3, 3)),
        (9, 1, 16, CENTRES, (1, 1, 1)),
    )
    def test_targets_are_spread_evenly(
        self,
        count: int,
        least: int,
        most: int,
        unavailable: tuple[DataCentreId, ...],
        expected: tuple[int, ...],
    ) -> None:
        limits = dict.fromkeys(CENTRES, (least, most))
        found = sizing.spread_evenly(count, limits, bounds(), unavailable)
        self.assertEqual(expected, tuple(found[c] for c in CENTRES))


class PlaceTest(unittest.TestCase):
    @params(
        # Revocable targets fill the rest.
        (12, 8, {}, (3, 3, 2), (1, 2, 1)),
        # Other data centres replace one without capacity.
        (12, 8, {TargetKind.REVOCABLE: (B,)}, (3, 3, 2), (2, 0, 2)),
        # Both kinds together respect the maximum.
        (40, 8, {}, (3, 3, 2), (7, 7, 8)),
    )
    def test_kinds(
        self,
        total: int,
        regular: int,
        unavailable: dict[TargetKind, tuple[DataCentreId, ...]],
        regulars: tuple[int, ...],
        revocables: tuple[int, ...],
    ) -> None:
        found = sizing.place_targets(
            sizing.Size(total=total, regular=regular),
            bounds(most=10, revocable_part=0.15),
            CENTRES,
            unavailable,
            {},
        )
        for kind, counts in (
            (TargetKind.REGULAR, regulars),
            (TargetKind.REVOCABLE, revocables),
        ):
            self.assertEqual(
                counts, tuple(found[c, kind] for c in CENTRES), kind
            )

    def test_a_data_centre_without_capacity_keeps_its_targets(self) -> None:
        """Guards against releasing targets that are running."""
        found = sizing.place_targets(
            sizing.Size(total=15, regular=15),
            bounds(),
            CENTRES,
            {TargetKind.REGULAR: (B,)},
            {(B, TargetKind.REGULAR): 5},
        )
        self.assertEqual(
            [5, 5, 5], [found[c, TargetKind.REGULAR] for c in CENTRES]
        )
