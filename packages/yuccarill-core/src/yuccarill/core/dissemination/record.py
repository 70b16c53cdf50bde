"""Versioned records and a table of the newest one of each key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


class Record(msgspec.Struct, frozen=True):
    """One version of the value of a key."""

    key: str
    version: int
    body: bytes


class Comparison(msgspec.Struct, frozen=True):
    """Differences between the two sides of an exchange."""

    # Records that the other side lacks.
    newer_here: tuple[Record, ...]
    # Keys whose newest record this side lacks.
    newer_there: tuple[str, ...]


class RecordTable:
    """Store the newest record of each key."""

    def __init__(self) -> None:
        self._records_by_key: dict[str, Record] = {}

    def store(self, record: Record) -> bool:
        """Store a record if it is newer; return whether it was."""
        known = self._records_by_key.get(record.key)
        # Copies arrive over several paths and out of order; a late copy must
        # not restore a replaced version. Equal versions are rejected too, so
        # that duplicates are not forwarded endlessly.
        if known is not None and record.version <= known.version:
            return False
        self._records_by_key[record.key] = record
        return True

    def get(self, key: str) -> Record | None:
        """Return the newest known record of a key, if any."""
        return self._records_by_key.get(key)

    def select(self, keys: Iterable[str]) -> list[Record]:
        """Return the known records among the keys."""
        found = (self._records_by_key.get(key) for key in keys)
        return [record for record in found if record is not None]

    def versions_by_key(self) -> dict[str, int]:
        """Return the versions that an exchange compares."""
        return {
            key: record.version for key, record in self._records_by_key.items()
        }

    def compare(self, theirs: Mapping[str, int]) -> Comparison:
        """Compare the records with another instance's versions."""
        mine = self.versions_by_key()
        return Comparison(
            newer_here=tuple(
                record
                for key, record in self._records_by_key.items()
                if record.version > theirs.get(key, 0)
            ),
            newer_there=tuple(
                key
                for key, version in theirs.items()
                if version > mine.get(key, 0)
            ),
        )
