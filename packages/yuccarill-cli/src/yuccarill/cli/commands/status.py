"""Show the state of an instance."""

from __future__ import annotations

import json

import click

from yuccarill.cli import client


@click.command()
@click.pass_obj
def status(address: str) -> None:
    """Show what an instance knows."""
    click.echo(json.dumps(client.send(address, 'GET', 'operators/status')))
