"""Put instances in the order in which they take on common work."""

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

    Everybody who knows the same instances gets the same order. An instance
    with twice the processor goes before the others: the holder of a duty
    starts some hundred runs at once, and on half a core half of the texts
    took 1.8 s, by its log, where 0.6 s are usual. Among equals the purpose
    spreads the work.
    """
    return sorted(
        cores_by_instance,
        key=lambda name: (
            -_power_of_two(cores_by_instance[name]),
            zlib.crc32(f'{name} {purpose}'.encode()),
            name,
        ),
    )


def ordered_for_part(
    cores_by_instance: Mapping[str, float], parts: Sequence[str], part: str
) -> list[str]:
    """Return the instances in order for one of several parts of a work.

    The first of each part is another instance while there are enough, and
    those of other parts come last: one that holds two has no time for both.
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
    firsts: dict[str, str] = {}
    for part, order in orders_by_part.items():
        first = next((name for name in order if name not in firsts), None)
        if first is not None:
            firsts[first] = part
    return {
        part: sorted(order, key=lambda name: _place(firsts.get(name), part))
        for part, order in orders_by_part.items()
    }


def _place(first_of: str | None, part: str) -> int:
    if first_of is None:
        return 1
    return 0 if first_of == part else 2


def _power_of_two(cores: float) -> int:
    # Small differences must not send all common work to one instance.
    return round(math.log2(max(cores, 0.01)))
