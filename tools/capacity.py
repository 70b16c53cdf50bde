"""Generate docs/CAPACITY.md from the slopes in docs/capacity.toml.

Each cost of a role is a sum of measured slopes, each multiplied by a factor
of the deployment size. The page shows the terms of each sum.
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
    """Describe one kind of cost and its unit."""

    field: str
    title: str
    unit: str


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Store one measured slope and its source."""

    value: float
    unit: str
    meaning: str
    # Section of docs/MEASURES.md with the command and the results.
    section: str
    # Measured range of sizes; larger sizes are extrapolated.
    reach: str


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe the costs of one role at the deployment size."""

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
    """Store the content of docs/capacity.toml."""

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


def sum_terms(capacity: Capacity, terms: Terms) -> float:
    """Return the sum of slopes times their factors."""
    return sum(
        capacity.slopes[slope].value * _factor_value(capacity, factor)
        for slope, factor in terms.items()
    )


def render(capacity: Capacity) -> str:
    """Return the generated part of the page."""
    lines = ['## Roles', '']
    for role in capacity.roles:
        lines += _render_role(capacity, role)
    lines += ['## Slopes', '']
    lines += ['| slope | value | meaning | section | reach |']
    lines += ['|---|---|---|---|---|']
    for name, slope in capacity.slopes.items():
        lines.append(
            f'| `{name}` | {slope.value:g} {slope.unit} | {slope.meaning} | '
            f'{slope.section} | {slope.reach} |'
        )
    return '\n'.join(lines)


def _render_role(capacity: Capacity, role: Role) -> list[str]:
    lines = [f'### {role.name}', '']
    lines += ['| | |', '|---|---|']
    lines.append(f'| how many | {role.count} |')
    lines.append(f'| mechanism | {role.mechanism} |')
    lines.append(f'| state | {role.state} |')
    lines.append(f'| messages | {role.messages} |')
    for quantity in QUANTITIES:
        terms: Terms = getattr(role, quantity.field)
        if terms:
            amount = f'{sum_terms(capacity, terms):.3g} {quantity.unit}'
            parts = ' + '.join(
                _render_term(capacity, slope, factor)
                for slope, factor in terms.items()
            )
            lines.append(f'| {quantity.title} | **{amount}** = {parts} |')
    return [*lines, '']


def _render_term(capacity: Capacity, slope: str, factor: str | float) -> str:
    number = _factor_value(capacity, factor)
    if number == 1:
        return f'`{slope}`'
    name = f' ({factor})' if isinstance(factor, str) else ''
    return f'`{slope}` x {number:.4g}{name}'


def _factor_value(capacity: Capacity, factor: str | float) -> float:
    return capacity.size[factor] if isinstance(factor, str) else factor


def _render_page(capacity: Capacity) -> str:
    text = PAGE.read_text()
    before, rest = text.split(BEGIN)
    _, after = rest.split(END)
    return f'{before}{BEGIN}\n\n{render(capacity)}\n\n{END}{after}'


@click.command()
@click.option('--check', is_flag=True, help='Only check the page.')
def main(check: bool) -> None:
    """Write the generated part of docs/CAPACITY.md."""
    capacity = msgspec.convert(tomllib.loads(DATA.read_text()), Capacity)
    page = _render_page(capacity)
    if not check:
        PAGE.write_text(page)
    elif page != PAGE.read_text():
        click.echo('docs/CAPACITY.md is stale; run "make capacity".', err=True)
        sys.exit(1)


if __name__ == '__main__':
    main()
