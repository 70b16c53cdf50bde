"""Work out docs/CAPACITY.md from the slopes in docs/capacity.toml.

Each figure of a role is a sum of measured slopes, each times a number of
the size; the page shows the terms, so that a reader can follow them.
"""

from __future__ import annotations

import pathlib
import sys
import tomllib

import click
import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / 'docs/capacity.toml'
PAGE = ROOT / 'docs/CAPACITY.md'
BEGIN = '<!-- begin of what tools/capacity.py writes -->'
END = '<!-- end of what tools/capacity.py writes -->'

Terms = dict[str, str | float]


class Quantity(msgspec.Struct, frozen=True):
    """Name one kind of cost and its unit."""

    field: str
    title: str
    unit: str


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold one measured slope and where it comes from."""

    value: float
    unit: str
    meaning: str
    # Section of docs/MEASURES.md that has the command and the run.
    section: str
    # Sizes that the run covered; beyond them the line is drawn on.
    reach: str


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one role at the size."""

    name: str
    count: str
    mechanism: str
    state: str
    messages: str
    cpu: Terms = {}
    memory: Terms = {}
    sent: Terms = {}
    reads: Terms = {}
    writes: Terms = {}


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the size, the slopes and the roles."""

    size: dict[str, float]
    slopes: dict[str, Slope]
    roles: list[Role]


QUANTITIES = (
    Quantity('cpu', 'processor', '% of a core'),
    Quantity('memory', 'memory', 'MB'),
    Quantity('sent', 'sent', 'KB/s'),
    Quantity('reads', 'store reads', '/s'),
    Quantity('writes', 'store writes', '/s'),
)


def total(capacity: Capacity, terms: Terms) -> float:
    """Sum slopes times their factors."""
    return sum(
        capacity.slopes[slope].value * _factor(capacity, factor)
        for slope, factor in terms.items()
    )


def render(capacity: Capacity) -> str:
    """Return the generated part of the page."""
    lines = ['## Roles', '']
    for role in capacity.roles:
        lines += _role_lines(capacity, role)
    lines += ['## Slopes', '']
    lines += ['| slope | value | meaning | section | reach |']
    lines += ['|---|---|---|---|---|']
    for name, slope in capacity.slopes.items():
        lines.append(
            f'| `{name}` | {slope.value:g} {slope.unit} | {slope.meaning} | '
            f'{slope.section} | {slope.reach} |'
        )
    return '\n'.join(lines)


def _role_lines(capacity: Capacity, role: Role) -> list[str]:
    lines = [f'### {role.name}', '']
    lines += ['| | |', '|---|---|']
    lines.append(f'| how many | {role.count} |')
    lines.append(f'| mechanism | {role.mechanism} |')
    lines.append(f'| state | {role.state} |')
    lines.append(f'| messages | {role.messages} |')
    for quantity in QUANTITIES:
        terms: Terms = getattr(role, quantity.field)
        if terms:
            sum_ = f'{total(capacity, terms):.3g} {quantity.unit}'
            parts = ' + '.join(
                _term(capacity, slope, factor)
                for slope, factor in terms.items()
            )
            lines.append(f'| {quantity.title} | **{sum_}** = {parts} |')
    return [*lines, '']


def _term(capacity: Capacity, slope: str, factor: str | float) -> str:
    number = _factor(capacity, factor)
    if number == 1:
        return f'`{slope}`'
    name = f' ({factor})' if isinstance(factor, str) else ''
    return f'`{slope}` x {number:.4g}{name}'


def _factor(capacity: Capacity, factor: str | float) -> float:
    return capacity.size[factor] if isinstance(factor, str) else factor


def _page(capacity: Capacity) -> str:
    text = PAGE.read_text()
    before, rest = text.split(BEGIN)
    _, after = rest.split(END)
    return f'{before}{BEGIN}\n\n{render(capacity)}\n\n{END}{after}'


@click.command()
@click.option('--check', is_flag=True, help='Only compare with the page.')
def main(check: bool) -> None:
    """Write the figures into docs/CAPACITY.md."""
    capacity = msgspec.convert(tomllib.loads(DATA.read_text()), Capacity)
    page = _page(capacity)
    if not check:
        PAGE.write_text(page)
    elif page != PAGE.read_text():
        click.echo('docs/CAPACITY.md is old; run "make capacity".', err=True)
        sys.exit(1)


if __name__ == '__main__':
    main()
