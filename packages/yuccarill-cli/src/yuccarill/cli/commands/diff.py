"""Compare an inventory document with the current configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import current_configuration
from yuccarill.cli import differences
from yuccarill.cli import documents
from yuccarill.cli import output
from yuccarill.cli.output import OutputForm

if TYPE_CHECKING:
    import pathlib

    from yuccarill.cli.session import Session


@click.command('diff')
@documents.file_argument
@output.output_option
@click.pass_obj
def command(session: Session, file: pathlib.Path, form: OutputForm) -> None:
    """Show the changes that applying FILE would make."""
    document = documents.load(file)
    current = session.run(current_configuration.read(session))
    found = differences.between(current.inventory, document.inventory)
    if form is OutputForm.JSON:
        output.print_json({'base': current.revision, 'differences': found})
        return
    click.echo(current_configuration.describe(current))
    differences.print_list(found)
    if found:
        click.echo(f'Apply the file with --base {current.revision}.')
    else:
        click.echo('Nothing differs.')
