"""Show what was reported of client accounts' usage, and by whom."""

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
@output.option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show the last reports of usage, and which instance makes them.

    The address is the peer address of a gateway on the users' platform; only
    the instance that it names as holder knows the reports.
    """
    shown = session.run(
        session.ask(session.addresses[0], 'GET', PATH, ShownUsage)
    )
    if form is OutputForm.JSON:
        output.print_json(shown)
        return
    click.echo(f'holder: {shown.holder or "nobody"}')
    if not shown.is_here:
        return
    output.print_table(
        ['WINDOW', 'REQUESTS', 'SENT'],
        [
            (
                report.window,
                report.requests,
                'yes' if report.window <= shown.sent_through else 'no',
            )
            for report in shown.reports
        ],
    )
