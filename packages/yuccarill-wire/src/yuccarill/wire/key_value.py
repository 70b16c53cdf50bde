"""Replies of the platform's key-value service."""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """A value and its version, 0 if the key is absent."""

    version: int
    value: bytes

    @property
    def is_absent(self) -> bool:
        return self.version == 0
