"""Convert a document's plain values, naming every fault in them."""

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

_SHOWN_CHARACTERS = 60
_PLACE_MARK = ' - at `$'


class Conversion:
    """Hold a document's entries that are valid and the faults of others."""

    def __init__(self, plain: Any) -> None:
        self.faults: list[str] = []
        self.inventory = inventory_module.Inventory()
        # Names of all entries, also of those with a fault in another key:
        # a reference to such an entry is no fault of its own.
        self.names_by_section: dict[str, list[str]] = {}
        if not isinstance(plain, dict):
            shown = _shown(plain)
            self.faults.append(
                f'document: {shown} is wrong; write a table of sections'
            )
            return
        kinds_by_section = _kinds_by_section()
        self.faults.extend(_unknown('document', plain, kinds_by_section))
        self.inventory = inventory_module.Inventory(
            **{
                section: tuple(self._entries(section, kind, plain))
                for section, kind in kinds_by_section.items()
            }
        )

    def _entries(
        self, section: str, kind: type[Any], plain: dict[str, Any]
    ) -> Iterator[Any]:
        entries = plain.get(section, [])
        names = self.names_by_section.setdefault(section, [])
        if not isinstance(entries, list | tuple):
            self.faults.append(
                f'{section}: {_shown(entries)} is wrong; write '
                f'[[{section}]] before each entry'
            )
            return
        for index, entry in enumerate(entries):
            name = _name(entry)
            if name is not None:
                names.append(name)
            try:
                yield msgspec.convert(entry, kind)
            except msgspec.ValidationError:
                place = _place(section, index, name)
                self.faults.extend(_entry_faults(place, entry, kind))


def _entry_faults(place: str, entry: Any, kind: type[Any]) -> Iterator[str]:
    if not isinstance(entry, dict):
        yield f'{place}: {_shown(entry)} is wrong; write a table of keys'
        return
    hints_by_key = get_type_hints(kind, include_extras=True)
    yield from _unknown(place, entry, hints_by_key)
    for field in msgspec.structs.fields(kind):
        hint = hints_by_key[field.name]
        if field.name in entry:
            yield from _value_faults(
                f'{place}, {field.name}', entry[field.name], hint
            )
        elif field.required:
            yield f'{place}: {field.name} is missing; write {_wanted(hint)}'


def _value_faults(place: str, value: Any, hint: Any) -> Iterator[str]:
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        # A part deeper in the value is named after the mark.
        _, mark, rest = str(error).partition(_PLACE_MARK)
        inner = rest.rstrip('`') if mark else ''
        shown = _shown(value)
        yield f'{place}{inner}: {shown} is wrong; write {_wanted(hint)}'


def _wanted(hint: Any) -> str:
    """Describe what an operator should write for a type."""
    for meta in getattr(hint, '__metadata__', ()):
        if meta.description:
            return str(meta.description)
    if get_origin(hint) is None and inspect.isclass(hint):
        if issubclass(hint, enum.Enum):
            return 'one of ' + ', '.join(str(m.value) for m in hint)
        if issubclass(hint, msgspec.Struct):
            return _wanted_table(hint)
        return {bool: 'true or false', int: 'a whole number'}.get(
            hint, 'text in quotes'
        )
    return ' or '.join(_wanted(part) for part in get_args(hint))


def _wanted_table(kind: type[msgspec.Struct]) -> str:
    hints_by_key = get_type_hints(kind, include_extras=True)
    parts = [
        f'{field.name} ({_wanted(hints_by_key[field.name])})'
        for field in msgspec.structs.fields(kind)
    ]
    config = kind.__struct_config__
    if config.tag_field is not None:
        parts.insert(0, f'{config.tag_field} = "{config.tag}"')
    return '{ ' + ', '.join(parts) + ' }'


def _unknown(place: str, table: Any, known: Any) -> Iterator[str]:
    for key in table:
        if key in known:
            continue
        near = difflib.get_close_matches(str(key), known, n=1)
        wanted = near[0] if near else f'one of {", ".join(known)}'
        yield f'{place}: {_shown(key)} is unknown; write {wanted}'


@functools.cache
def _kinds_by_section() -> dict[str, type[Any]]:
    hints = get_type_hints(inventory_module.Inventory)
    return {
        field.name: get_args(hints[field.name])[0]
        for field in msgspec.structs.fields(inventory_module.Inventory)
    }


def _name(entry: Any) -> str | None:
    if isinstance(entry, dict):
        name = entry.get('id', entry.get('name'))
        if isinstance(name, str):
            return name
    return None


def _place(section: str, index: int, name: str | None) -> str:
    # Counted as an operator counts the entries of a file.
    return f'{section} {name}' if name else f'{section} entry {index + 1}'


def _shown(value: Any) -> str:
    return _shortener.repr(value)


def _make_shortener() -> reprlib.Repr:
    shortener = reprlib.Repr()
    shortener.maxstring = _SHOWN_CHARACTERS
    shortener.maxother = _SHOWN_CHARACTERS
    return shortener


_shortener = _make_shortener()
