"""Show the instance addresses that clients receive."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import times
from yuccarill.wire import operators

if TYPE_CHECKING:
    from yuccarill.cli.session import Session


@click.command('addresses')
@output.output_option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show the addresses that clients receive, and their expiry."""
    reply = session.run(session.read('addresses', operators.AddressesReply))
    if form is OutputForm.JSON:
        output.print_json(reply)
        return
    for address in reply.addresses:
        click.echo(address)
    click.echo(f'Valid until {times.format_utc(reply.valid_until)}.')
