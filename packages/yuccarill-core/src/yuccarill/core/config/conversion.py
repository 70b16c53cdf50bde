"""Convert a decoded document to an inventory and collect all faults."""

from __future__ import annotations

import difflib
import enum
import functools
import inspect
import reprlib
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.config import inventory as inventory_module

if TYPE_CHECKING:
    from collections.abc import Iterator

_MAX_SHOWN_CHARACTERS = 60
_PATH_MARKER = ' - at `$'


class Conversion:
    """Valid entries of a document and the faults of the invalid ones."""

    def __init__(self, parsed: Any) -> None:
        self.faults: list[str] = []
        self.inventory = inventory_module.Inventory()
        # Includes entries that are invalid because of another key, so that
        # a reference to such an entry is not reported as a second fault.
        self.names_by_section: dict[str, list[str]] = {}
        if not isinstance(parsed, dict):
            shown = _shorten(parsed)
            self.faults.append(
                f'document: {shown} is wrong; write a table of sections'
            )
            return
        types_by_section = _types_by_section()
        self.faults.extend(_unknown_keys('document', parsed, types_by_section))
        self.inventory = inventory_module.Inventory(
            **{
                section: tuple(self._entries(section, struct, parsed))
                for section, struct in types_by_section.items()
            }
        )

    def _entries(
        self, section: str, struct: type[Any], parsed: dict[str, Any]
    ) -> Iterator[Any]:
        entries = parsed.get(section, [])
        names = self.names_by_section.setdefault(section, [])
        if not isinstance(entries, list | tuple):
            self.faults.append(
                f'{section}: {_shorten(entries)} is wrong; write '
                f'[[{section}]] before each entry'
            )
            return
        for index, entry in enumerate(entries):
            name = _entry_name(entry)
            if name is not None:
                names.append(name)
            try:
                yield msgspec.convert(entry, struct)
            except msgspec.ValidationError:
                path = _entry_path(section, index, name)
                self.faults.extend(_entry_faults(path, entry, struct))


def _entry_faults(path: str, entry: Any, struct: type[Any]) -> Iterator[str]:
    if not isinstance(entry, dict):
        yield f'{path}: {_shorten(entry)} is wrong; write a table of keys'
        return
    hints_by_key = get_type_hints(struct, include_extras=True)
    yield from _unknown_keys(path, entry, hints_by_key)
    for field in msgspec.structs.fields(struct):
        hint = hints_by_key[field.name]
        if field.name in entry:
            yield from _value_faults(
                f'{path}, {field.name}', entry[field.name], hint
            )
        elif field.required:
            yield f'{path}: {field.name} is missing; write {_describe(hint)}'


def _value_faults(path: str, value: Any, hint: Any) -> Iterator[str]:
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        # msgspec puts the path to a nested value after the marker.
        _, marker, rest = str(error).partition(_PATH_MARKER)
        subpath = rest.rstrip('`') if marker else ''
        shown = _shorten(value)
        yield f'{path}{subpath}: {shown} is wrong; write {_describe(hint)}'


def _describe(hint: Any) -> str:
    """Return a description of the values that a type accepts."""
    for meta in getattr(hint, '__metadata__', ()):
        if meta.description:
            return str(meta.description)
    if get_origin(hint) is None and inspect.isclass(hint):
        if issubclass(hint, enum.Enum):
            return 'one of ' + ', '.join(str(m.value) for m in hint)
        if issubclass(hint, msgspec.Struct):
            return _describe_table(hint)
        return {bool: 'true or false', int: 'a whole number'}.get(
            hint, 'text in quotes'
        )
    return ' or '.join(_describe(part) for part in get_args(hint))


def _describe_table(struct: type[msgspec.Struct]) -> str:
    hints_by_key = get_type_hints(struct, include_extras=True)
    parts = [
        f'{field.name} ({_describe(hints_by_key[field.name])})'
        for field in msgspec.structs.fields(struct)
    ]
    config = struct.__struct_config__
    if config.tag_field is not None:
        parts.insert(0, f'{config.tag_field} = "{config.tag}"')
    return '{ ' + ', '.join(parts) + ' }'


def _unknown_keys(path: str, table: Any, known_keys: Any) -> Iterator[str]:
    for key in table:
        if key in known_keys:
            continue
        closest = difflib.get_close_matches(str(key), known_keys, n=1)
        expected = closest[0] if closest else f'one of {", ".join(known_keys)}'
        yield f'{path}: {_shorten(key)} is unknown; write {expected}'


@functools.cache
def _types_by_section() -> dict[str, type[Any]]:
    hints = get_type_hints(inventory_module.Inventory)
    return {
        field.name: get_args(hints[field.name])[0]
        for field in msgspec.structs.fields(inventory_module.Inventory)
    }


def _entry_name(entry: Any) -> str | None:
    if isinstance(entry, dict):
        name = entry.get('id', entry.get('name'))
        if isinstance(name, str):
            return name
    return None


def _entry_path(section: str, index: int, name: str | None) -> str:
    # Operators count entries from 1.
    return f'{section} {name}' if name else f'{section} entry {index + 1}'


def _shorten(value: Any) -> str:
    return _shortener.repr(value)


def _make_shortener() -> reprlib.Repr:
    shortener = reprlib.Repr()
    shortener.maxstring = _MAX_SHOWN_CHARACTERS
    shortener.maxother = _MAX_SHOWN_CHARACTERS
    return shortener


_shortener = _make_shortener()
