"""Show and release requests that are kept from targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.core.gateway.end_ledger import QuarantinedContent

if TYPE_CHECKING:
    from yuccarill.cli.session import Session

PATH = '/quarantine/contents'


@click.command('quarantine')
@click.option(
    '--release',
    metavar='CONTENT',
    help='Let the requests of this content be sent on again, everywhere.',
)
@output.option
@click.pass_obj
def command(session: Session, release: str | None, form: OutputForm) -> None:
    """Show the requests that are refused since targets ended under them.

    The address is the peer address of a gateway on the users' platform.
    """
    method = 'GET' if release is None else 'DELETE'
    path = PATH if release is None else f'{PATH}/{release}'
    # Instances tell each other: whichever is asked knows all.
    shown = session.run(
        session.ask(
            session.addresses[0], method, path, list[QuarantinedContent]
        )
    )
    if form is OutputForm.JSON:
        output.print_json(shown)
        return
    output.print_table(
        ['CONTENT', 'REQUEST', 'SECONDS LEFT', 'ENDED TARGETS'],
        [
            (
                each.content,
                each.request,
                round(each.seconds_left),
                ', '.join(each.targets),
            )
            for each in shown
        ],
    )
