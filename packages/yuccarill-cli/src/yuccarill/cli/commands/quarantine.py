"""Show and release quarantined requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.core.gateway.crash_ledger import QuarantinedContent

if TYPE_CHECKING:
    from yuccarill.cli.session import Session

PATH = '/quarantine/contents'


@click.command('quarantine')
@click.option(
    '--release',
    metavar='CONTENT',
    help='Release requests with this content at all instances.',
)
@output.output_option
@click.pass_obj
def command(session: Session, release: str | None, form: OutputForm) -> None:
    """Show requests refused because targets exited while running them.

    --address is the peer address of a gateway on the users' platform.
    """
    method = 'GET' if release is None else 'DELETE'
    path = PATH if release is None else f'{PATH}/{release}'
    # Instances share quarantine entries, so any instance knows all of them.
    quarantined = session.run(
        session.request(
            session.addresses[0], method, path, list[QuarantinedContent]
        )
    )
    if form is OutputForm.JSON:
        output.print_json(quarantined)
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
            for each in quarantined
        ],
    )
