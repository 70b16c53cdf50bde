"""Decide how many targets a service needs, and where."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.scaling.plan import TargetKind

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from yuccarill.core.scaling.plan import ScalingBounds

Place = tuple[DataCentreId, TargetKind]
Counts = dict[Place, int]


class SizingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure how many of the slots may be busy."""

    # Fraction of the slots that may be busy on average; leaves headroom for
    # bursts of twice the mean.
    max_busy_fraction: float = 0.5
    # The same for regular targets alone, if all revocable ones are reclaimed.
    max_regular_busy_fraction: float = 0.8


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the number of targets that a service needs."""

    total: int
    # Number of these that must not be revocable.
    regular: int


def size(
    policy: SizingPolicy, bounds: ScalingBounds, demand: float, slots: int
) -> Size:
    """Return the size for a demand, in slots."""
    total = _targets_for(demand, slots, policy.max_busy_fraction)
    regular = total
    if bounds.revocable_part is not None:
        regular = _targets_for(demand, slots, policy.max_regular_busy_fraction)
    return Size(total=total, regular=min(total, regular))


def place_targets(
    needed: Size,
    bounds: ScalingBounds,
    centres: Collection[DataCentreId],
    unavailable: Mapping[TargetKind, Collection[DataCentreId]],
    current: Counts,
) -> Counts:
    """Return the number of targets by data centre and kind.

    A data centre without capacity keeps its current targets.
    """
    kept = {
        (centre, kind): min(bounds.most, current.get((centre, kind), 0))
        for kind, unavailable_centres in unavailable.items()
        for centre in unavailable_centres
    }
    regular = spread_evenly(
        needed.regular,
        {
            centre: (
                kept.get((centre, TargetKind.REGULAR), bounds.least),
                bounds.most,
            )
            for centre in centres
        },
        bounds,
        unavailable.get(TargetKind.REGULAR, ()),
    )
    counts: Counts = {
        (centre, TargetKind.REGULAR): count
        for centre, count in regular.items()
    }
    if bounds.revocable_part is None:
        return counts
    revocable = spread_evenly(
        needed.total - sum(regular.values()),
        {
            centre: _limits(
                kept.get((centre, TargetKind.REVOCABLE), 0),
                bounds.most - regular[centre],
            )
            for centre in centres
        },
        bounds,
        unavailable.get(TargetKind.REVOCABLE, ()),
    )
    for centre, count in revocable.items():
        counts[centre, TargetKind.REVOCABLE] = count
    return counts


def spread_evenly(
    count: int,
    limits_by_centre: Mapping[DataCentreId, tuple[int, int]],
    bounds: ScalingBounds,
    unavailable: Collection[DataCentreId] = (),
) -> dict[DataCentreId, int]:
    """Divide targets evenly within the limits, the cheapest centres first.

    A data centre without capacity keeps its minimum; the others take the rest.
    """
    counts = {centre: limits[0] for centre, limits in limits_by_centre.items()}
    by_price = sorted(counts, key=lambda c: (bounds.price(c), c))
    for _ in range(count - sum(counts.values())):
        open_centres = [
            centre
            for centre in by_price
            if centre not in unavailable
            and counts[centre] < limits_by_centre[centre][1]
        ]
        if not open_centres:
            break
        counts[min(open_centres, key=lambda c: counts[c])] += 1
    return counts


def _limits(least: int, most: int) -> tuple[int, int]:
    return min(least, most), most


def _targets_for(demand: float, slots: int, max_busy_fraction: float) -> int:
    return max(1, math.ceil(demand / max_busy_fraction / max(1, slots)))
