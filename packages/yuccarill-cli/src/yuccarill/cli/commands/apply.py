"""Apply an inventory document."""

from __future__ import annotations

import getpass
import pathlib

import click

from yuccarill.cli import client
from yuccarill.cli import documents


@click.command()
@click.argument('file', type=click.Path(exists=True, path_type=pathlib.Path))
@click.option('--base', type=int, required=True, help='Revision changed.')
@click.option('--author', default=getpass.getuser)
@click.pass_obj
def apply(address: str, file: pathlib.Path, base: int, author: str) -> None:
    """Make FILE the revision after --base."""
    document = documents.load(file)
    reply = client.send(
        address,
        'PUT',
        'operators/configuration',
        {'author': author, 'base': base, 'document': document},
    )
    click.echo(f'Revision {reply["revision"]} stands.')
