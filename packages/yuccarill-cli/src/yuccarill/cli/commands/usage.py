"""Show the usage reports of client accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.core.usage.reports import ShownUsage

if TYPE_CHECKING:
    from yuccarill.cli.session import Session

PATH = '/usage'


@click.command('usage')
@output.output_option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show the latest usage reports and the instance that makes them.

    --address is the peer address of a gateway on the users' platform. Only the
    instance that is shown as holder knows the reports.
    """
    usage = session.run(
        session.request(session.addresses[0], 'GET', PATH, ShownUsage)
    )
    if form is OutputForm.JSON:
        output.print_json(usage)
        return
    click.echo(f'holder: {usage.holder or "none"}')
    if not usage.is_here:
        return
    output.print_table(
        ['WINDOW', 'REQUESTS', 'SENT'],
        [
            (
                report.window,
                report.requests,
                'yes' if report.window <= usage.sent_through else 'no',
            )
            for report in usage.reports
        ],
    )
