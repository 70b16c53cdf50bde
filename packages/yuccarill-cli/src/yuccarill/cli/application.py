"""The command yuccarill."""

from __future__ import annotations

import click

from yuccarill.cli.commands import addresses
from yuccarill.cli.commands import apply
from yuccarill.cli.commands import check
from yuccarill.cli.commands import status


@click.group(context_settings={'auto_envvar_prefix': 'YUCCARILL'})
@click.option(
    '--address', default='127.0.0.1:8100', help='IP:PORT of an instance.'
)
@click.pass_context
def main(context: click.Context, address: str) -> None:
    """Operate yuccarill."""
    context.obj = address


main.add_command(addresses.addresses)
main.add_command(apply.apply)
main.add_command(check.check)
main.add_command(status.status)
