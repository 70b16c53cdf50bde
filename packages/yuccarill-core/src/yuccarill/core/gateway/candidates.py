"""Rank instances for duties that one instance performs for all."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING
import zlib

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


def ordered(cores_by_instance: Mapping[str, float], purpose: str) -> list[str]:
    """Return the instances, the most suitable first.

    The order is deterministic: all instances with the same membership view
    compute the same one. Instances with more cores come first, since the
    holder of a duty starts many runs at once. Among equals the order depends
    on the purpose, which spreads the duties.
    """
    return sorted(
        cores_by_instance,
        key=lambda name: (
            -_rounded_log2(cores_by_instance[name]),
            zlib.crc32(f'{name} {purpose}'.encode()),
            name,
        ),
    )


def ordered_for_part(
    cores_by_instance: Mapping[str, float], parts: Sequence[str], part: str
) -> list[str]:
    """Return the instances, the most suitable first, for one part of a duty.

    Each part has a different first instance if there are enough instances,
    and the first instances of other parts come last, so that no instance is
    overloaded by two parts.
    """
    if len(parts) == 1:
        return ordered(cores_by_instance, part)
    return list(_orders(tuple(cores_by_instance.items()), tuple(parts))[part])


@functools.lru_cache(maxsize=8)
def _orders(
    cores: tuple[tuple[str, float], ...], parts: tuple[str, ...]
) -> dict[str, list[str]]:
    cores_by_instance = dict(cores)
    orders_by_part = {part: ordered(cores_by_instance, part) for part in parts}
    # Parts by their first instance.
    firsts: dict[str, str] = {}
    for part, order in orders_by_part.items():
        first = next((name for name in order if name not in firsts), None)
        if first is not None:
            firsts[first] = part
    return {
        part: sorted(order, key=lambda name: _rank(firsts.get(name), part))
        for part, order in orders_by_part.items()
    }


def _rank(own_part: str | None, part: str) -> int:
    if own_part is None:
        return 1
    return 0 if own_part == part else 2


def _rounded_log2(cores: float) -> int:
    # Rounded so that small differences do not send all duties to one instance.
    return round(math.log2(max(cores, 0.01)))
