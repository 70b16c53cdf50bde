"""Print results as a table or as JSON."""

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

_COLUMN_GAP = '  '
_EMPTY_CELL = '-'


class OutputForm(enum.Enum):
    """Output format of a command."""

    TABLE = 'table'
    JSON = 'json'


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the --output option to a command."""
    return click.option(
        '--output',
        'form',
        type=click.Choice([form.value for form in OutputForm]),
        default=OutputForm.TABLE.value,
        callback=lambda _context, _parameter, value: OutputForm(value),
        help='Output format.',
    )(command)


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(text.decode())


def print_table(
    headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print rows as columns, each as wide as its widest cell."""
    lines = [list(headers)]
    lines += [[_cell(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = map(str.ljust, line, widths)
        click.echo(_COLUMN_GAP.join(cells).rstrip())


def format_value(value: object) -> str:
    """Format a value on one line: text unquoted, anything else as JSON."""
    if isinstance(value, str):
        return value
    return (
        _EMPTY_CELL if value is None else msgspec.json.encode(value).decode()
    )


def to_plain_dict(entry: msgspec.Struct) -> dict[str, Any]:
    """Return an entry's fields as builtin types, defaults included."""
    return {
        key: msgspec.to_builtins(getattr(entry, key))
        for key in entry.__struct_fields__
    }


def _cell(value: object) -> str:
    if isinstance(value, enum.Enum):
        value = value.value
    return _EMPTY_CELL if value is None or value == '' else str(value)
