"""Compare an inventory document with what stands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import differences
from yuccarill.cli import documents
from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import standing as standing_module

if TYPE_CHECKING:
    import pathlib

    from yuccarill.cli.session import Session


@click.command('diff')
@documents.argument
@output.option
@click.pass_obj
def command(session: Session, file: pathlib.Path, form: OutputForm) -> None:
    """Show what applying FILE would change."""
    loaded = documents.load(file)
    standing = session.run(standing_module.read(session))
    found = differences.between(standing.inventory, loaded.inventory)
    if form is OutputForm.JSON:
        output.print_json({'base': standing.revision, 'differences': found})
        return
    click.echo(standing_module.describe(standing))
    differences.print_list(found)
    if found:
        click.echo(f'Apply it with --base {standing.revision}.')
    else:
        click.echo('Nothing differs.')
