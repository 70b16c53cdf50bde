"""Choose the instances whose addresses a caller receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.membership.instances import Instance

MAX_ADDRESSES = 8


def choose(
    live: Iterable[Instance],
    caller: str,
    data_centre: DataCentreId | None = None,
    limit: int = MAX_ADDRESSES,
) -> list[Instance]:
    """Return the instances for a caller, its data centre's first.

    Rendezvous hashing spreads callers evenly and moves only the callers of
    an instance that leaves.
    """
    by_id = {instance.id: instance for instance in live}
    ranked = [by_id[i] for i in placement.rank(f'caller/{caller}', by_id)]
    near = [i for i in ranked if i.data_centre == data_centre]
    far = [i for i in ranked if i.data_centre != data_centre]
    chosen = (near + far)[:limit]
    # Keeps one address usable if the caller's data centre is lost.
    if far and near and len(near) >= limit:
        chosen[-1] = far[0]
    return chosen
