"""Compare two inventories by entry and key."""

from __future__ import annotations

import enum
import itertools
from typing import Any
from typing import TYPE_CHECKING

import click
import msgspec

from yuccarill.cli import output
from yuccarill.core.config.inventory import Inventory

if TYPE_CHECKING:
    from collections.abc import Iterator


class ChangeKind(enum.Enum):
    """Kind of change of an entry; the value is its mark in the output."""

    ADDED = '+'
    CHANGED = '~'
    REMOVED = '-'


class KeyChange(msgspec.Struct, frozen=True):
    """Old and new value of a key."""

    key: str
    before: Any
    after: Any


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """Changed keys of one entry."""

    section: str
    entry: str
    kind: ChangeKind
    keys: tuple[KeyChange, ...]


def between(old: Inventory, new: Inventory) -> list[Difference]:
    """Return the differences between two inventories."""
    differences = []
    for section in Inventory.__struct_fields__:
        before_by_name = _by_name(getattr(old, section))
        after_by_name = _by_name(getattr(new, section))
        for name in sorted(before_by_name | after_by_name):
            before = before_by_name.get(name)
            after = after_by_name.get(name)
            if before != after:
                differences.append(_difference(section, name, before, after))
    return differences


def print_list(differences: list[Difference], to_stderr: bool = False) -> None:
    """Print differences, grouped by section."""
    for section, group in itertools.groupby(
        differences, key=lambda difference: difference.section
    ):
        click.echo(section, err=to_stderr)
        for difference in group:
            click.echo('\n'.join(_lines(difference)), err=to_stderr)


def _lines(difference: Difference) -> Iterator[str]:
    yield f'  {difference.kind.value} {difference.entry}'
    for change in difference.keys:
        before, after = map(output.format_value, (change.before, change.after))
        match difference.kind:
            case ChangeKind.ADDED:
                yield f'      {change.key}: {after}'
            case ChangeKind.CHANGED:
                yield f'      {change.key}: {before} -> {after}'


def _difference(
    section: str, name: str, before: Any, after: Any
) -> Difference:
    kind = ChangeKind.CHANGED
    if before is None:
        kind = ChangeKind.ADDED
    if after is None:
        kind = ChangeKind.REMOVED
    old, new = before or {}, after or {}
    return Difference(
        section=section,
        entry=name,
        kind=kind,
        keys=tuple(
            KeyChange(key, old.get(key), new.get(key))
            for key in dict.fromkeys([*old, *new])
            if old.get(key) != new.get(key)
        ),
    )


def _by_name(entries: Any) -> dict[str, dict[str, Any]]:
    if not isinstance(entries, tuple):
        # A section that is not a list counts as one entry.
        return {'rules': msgspec.to_builtins(entries)} if entries else {}
    return {
        str(getattr(entry, 'id', None) or getattr(entry, 'name', '')): (
            output.to_plain_dict(entry)
        )
        for entry in entries
    }
