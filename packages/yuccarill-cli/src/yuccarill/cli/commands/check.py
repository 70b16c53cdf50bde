"""Validate an inventory document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import documents

if TYPE_CHECKING:
    import pathlib


@click.command('check')
@documents.file_argument
def command(file: pathlib.Path) -> None:
    """Validate FILE and list every fault in it."""
    documents.load(file)
    click.echo(f'{file}: valid.')
