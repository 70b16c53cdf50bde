"""Show the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import times
from yuccarill.wire import operators

if TYPE_CHECKING:
    from yuccarill.cli.session import Session


@click.command('show')
@output.output_option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show the configuration in force at an instance.

    The inventory in the JSON output can be saved, edited and applied.
    """
    current = session.run(
        session.read('operators/configuration', operators.Configuration)
    )
    if form is OutputForm.JSON:
        output.print_json(current)
        return
    click.echo(
        f'Revision {current.revision} by {current.author} at '
        f'{times.format_utc(current.applied_at)}, change {current.change_id}.'
    )
    for section in operators.Inventory.__struct_fields__:
        entries = getattr(current.inventory, section)
        if entries:
            click.echo(f'\n{section}')
            _print_entries([output.to_plain_dict(entry) for entry in entries])


def _print_entries(entries: list[dict[str, object]]) -> None:
    keys = list(dict.fromkeys(key for entry in entries for key in entry))
    output.print_table(
        [key.upper() for key in keys],
        [
            [output.format_value(entry.get(key)) for key in keys]
            for entry in entries
        ],
    )
