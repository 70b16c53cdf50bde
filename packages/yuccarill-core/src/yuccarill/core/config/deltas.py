"""Differences between two inventories, by section and entry."""

from __future__ import annotations

import bisect
import functools
import hashlib
from typing import Any
from typing import get_type_hints

import msgspec

from yuccarill.core.config.inventory import Inventory
from yuccarill.core.config import reader
from yuccarill.core import errors

DIGEST_LENGTH = 32
_MALFORMED = (AttributeError, KeyError, TypeError, msgspec.ValidationError)


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes that turn one inventory into the next."""

    # Entries added or replaced, as JSON values, by section.
    put: dict[str, list[Any]] = {}
    # Ids or names of the entries removed, by section.
    removed: dict[str, list[str]] = {}
    # New values of the fields that are not collections.
    values: dict[str, Any] = {}

    @property
    def is_empty(self) -> bool:
        return not (self.put or self.removed or self.values)


def delta_between(old: Inventory, new: Inventory) -> Delta:
    """Return the delta from one inventory to another."""
    put: dict[str, list[Any]] = {}
    removed: dict[str, list[str]] = {}
    values: dict[str, Any] = {}
    for section in Inventory.__struct_fields__:
        before, after = getattr(old, section), getattr(new, section)
        if before == after:
            continue
        if not isinstance(after, tuple):
            values[section] = msgspec.to_builtins(after)
            continue
        before_by_key, after_by_key = _by_key(before), _by_key(after)
        changed = [
            msgspec.to_builtins(entry)
            for key, entry in sorted(after_by_key.items())
            if before_by_key.get(key) != entry
        ]
        dropped = sorted(before_by_key.keys() - after_by_key.keys())
        if changed:
            put[section] = changed
        if dropped:
            removed[section] = dropped
    return Delta(put, removed, values)


def apply_to(inventory: Inventory, delta: Delta) -> Inventory:
    """Return an inventory with a delta applied.

    The argument and the result are canonical. Raises InventoryInvalid if the
    delta does not fit the data classes of this version.
    """
    try:
        changes = {
            section: msgspec.convert(value, _types_by_section()[section])
            for section, value in delta.values.items()
        }
        for section in delta.put.keys() | delta.removed.keys():
            entries = list(getattr(inventory, section))
            for key in delta.removed.get(section, ()):
                _remove(entries, key)
            put = delta.put.get(section, [])
            for entry in msgspec.convert(put, _types_by_section()[section]):
                _put(entries, entry)
            changes[section] = tuple(entries)
    except _MALFORMED as error:
        raise errors.InventoryInvalid(
            f'The delta was made by an incompatible version: {error}.'
        ) from error
    return msgspec.structs.replace(inventory, **changes)


def canonical(inventory: Inventory) -> Inventory:
    """Return an inventory with each section sorted by key."""
    changes = {
        section: _sorted(_by_key(entries))
        for section in Inventory.__struct_fields__
        if isinstance(entries := getattr(inventory, section), tuple)
    }
    return msgspec.structs.replace(inventory, **changes)


def digest(inventory: Inventory) -> str:
    """Return the digest of a canonical inventory."""
    data = reader.to_json(inventory)
    return hashlib.sha256(data).hexdigest()[:DIGEST_LENGTH]


def changed_entries(delta: Delta) -> set[str]:
    """Return the entries that a delta changes, as `section key`."""
    names = {
        f'{section} {_encoded_key(entry)}'
        for section, entries in delta.put.items()
        for entry in entries
    }
    names.update(
        f'{section} {key}'
        for section, keys in delta.removed.items()
        for key in keys
    )
    return names | set(delta.values)


@functools.cache
def _types_by_section() -> dict[str, Any]:
    return get_type_hints(Inventory)


def _by_key(entries: tuple[Any, ...]) -> dict[str, Any]:
    return {_key(entry): entry for entry in entries}


def _key(entry: Any) -> str:
    key: str = entry.id if hasattr(entry, 'id') else entry.name
    return key


def _put(entries: list[Any], entry: Any) -> None:
    _remove(entries, _key(entry))
    bisect.insort(entries, entry, key=_key)


def _remove(entries: list[Any], key: str) -> None:
    index = bisect.bisect_left(entries, key, key=_key)
    if index < len(entries) and _key(entries[index]) == key:
        del entries[index]


def _sorted(entries_by_key: dict[str, Any]) -> tuple[Any, ...]:
    return tuple(entry for _, entry in sorted(entries_by_key.items()))


def _encoded_key(entry: Any) -> Any:
    return entry['id'] if 'id' in entry else entry['name']
