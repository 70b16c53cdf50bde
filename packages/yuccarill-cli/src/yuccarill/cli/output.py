"""Print results as tables or as JSON."""

from __future__ import annotations

import enum
from typing import Any
from typing import TYPE_CHECKING

import click
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

_GAP = '  '
_EMPTY = '-'


class OutputForm(enum.Enum):
    """Say how a command prints what it read."""

    TABLE = 'table'
    JSON = 'json'


def option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add --output to a command."""
    return click.option(
        '--output',
        'form',
        type=click.Choice([form.value for form in OutputForm]),
        default=OutputForm.TABLE.value,
        callback=lambda _context, _parameter, value: OutputForm(value),
        help='How to print the result.',
    )(command)


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(text.decode())


def print_table(
    heads: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print rows in columns that are as wide as they need to be."""
    lines = [list(heads)]
    lines += [[_cell(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = map(str.ljust, line, widths)
        click.echo(_GAP.join(cells).rstrip())


def short(value: object) -> str:
    """Return a plain value on one line, as JSON but for bare text."""
    if isinstance(value, str):
        return value
    return _EMPTY if value is None else msgspec.json.encode(value).decode()


def plain(entry: msgspec.Struct) -> dict[str, Any]:
    """Return an entry's keys with plain values, defaults among them."""
    return {
        key: msgspec.to_builtins(getattr(entry, key))
        for key in entry.__struct_fields__
    }


def _cell(value: object) -> str:
    if isinstance(value, enum.Enum):
        value = value.value
    return _EMPTY if value is None or value == '' else str(value)
