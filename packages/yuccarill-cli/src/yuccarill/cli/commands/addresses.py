"""Show which instances callers are told to use."""

from __future__ import annotations

import click

from yuccarill.cli import client


@click.command()
@click.pass_obj
def addresses(address: str) -> None:
    """Show the addresses that callers get."""
    for line in client.send(address, 'GET', 'addresses')['addresses']:
        click.echo(line)
