"""Put instances in the order in which they take on common work."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
import zlib

if TYPE_CHECKING:
    from collections.abc import Mapping


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


def _power_of_two(cores: float) -> int:
    # Small differences must not send all common work to one instance.
    return round(math.log2(max(cores, 0.01)))
