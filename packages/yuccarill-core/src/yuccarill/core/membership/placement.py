"""Rendezvous hashing: few duties move when an instance joins or leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import InstanceId


def rank(duty: str, instances: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the instances by their hash weight for a duty, highest first."""
    return sorted(
        instances,
        key=lambda i: (xxhash.xxh3_64_intdigest(f'{duty}|{i}'.encode()), i),
        reverse=True,
    )
