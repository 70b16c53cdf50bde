"""Find the middle of a few figures."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


def median_low(values: Collection[float]) -> float:
    """Return the lower middle of at least one value.

    The library's own loads half a megabyte of modules that nothing else uses.
    """
    return sorted(values)[(len(values) - 1) // 2]
