"""Typed replies of the platform's key-value service."""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """Hold a value and the version that a later swap must name."""

    version: int
    value: bytes

    @property
    def is_absent(self) -> bool:
        return self.version == 0
