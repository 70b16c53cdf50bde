"""Choose the target of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Target
    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import TargetId


def choose(
    candidates: Iterable[Engine | Target],
    in_flight_by_id: Mapping[TargetId, int],
    data_centre: DataCentreId,
    tried: frozenset[TargetId] = frozenset(),
) -> Engine | Target | None:
    """Return the least loaded candidate, the own data centre first."""
    untried = [c for c in candidates if c.id not in tried]
    return min(
        untried,
        key=lambda c: (
            in_flight_by_id.get(c.id, 0),
            c.data_centre != data_centre,
            c.id,
        ),
        default=None,
    )
