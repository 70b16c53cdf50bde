"""Check an inventory document."""

from __future__ import annotations

import pathlib

import click

from yuccarill.cli import documents


@click.command()
@click.argument('file', type=click.Path(exists=True, path_type=pathlib.Path))
def check(file: pathlib.Path) -> None:
    """Check FILE and name every fault in it."""
    documents.load(file)
    click.echo(f'{file}: valid.')
