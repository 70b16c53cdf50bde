"""Divide an amount among those that want parts of it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Mapping

K = TypeVar('K', bound='Hashable')


def max_min(
    wanted_by_key: Mapping[K, float],
    amount: float,
    weights_by_key: Mapping[K, float] | None = None,
) -> dict[K, float]:
    """Divide an amount so that no part can grow without a smaller one.

    Nobody gets more than it wants; what one leaves goes to the others by
    their weights, 1 where none is given. Source: Bertsekas and Gallager,
    Data Networks, 1992, section 6.5.2.
    """
    weights = weights_by_key or {}
    parts = dict.fromkeys(wanted_by_key, 0.0)
    # Those that are satisfied first come first.
    by_need = sorted(
        wanted_by_key,
        key=lambda key: wanted_by_key[key] / weights.get(key, 1.0),
    )
    left = max(0.0, amount)
    weight_left = sum(weights.get(key, 1.0) for key in by_need)
    for key in by_need:
        weight = weights.get(key, 1.0)
        parts[key] = min(wanted_by_key[key], left * weight / weight_left)
        left -= parts[key]
        weight_left -= weight
    return parts
