"""Show the audit trail of configuration changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import times
from yuccarill.wire import operators

if TYPE_CHECKING:
    from yuccarill.cli.session import Session

MAX_SHOWN_ENTRIES = 4


@click.command('audit')
@click.option(
    '--last',
    type=click.IntRange(min=1),
    help='Last revision to show; the newest one if not given.',
)
@output.output_option
@click.pass_obj
def command(session: Session, last: int | None, form: OutputForm) -> None:
    """Show one page of changes; print the --last value of the earlier page."""
    path = 'operators/audit' if last is None else f'operators/audit/{last}'
    page = session.run(session.read(path, operators.AuditReply))
    if form is OutputForm.JSON:
        output.print_json(page)
        return
    output.print_table(
        ['FROM', 'TO', 'AUTHOR', 'AT', 'RESULT', 'CHANGE', 'ENTRIES'],
        map(_row, page.changes),
    )
    if page.previous:
        click.echo(f'Earlier changes: --last {page.previous}')


def _row(change: operators.AuditEntry) -> list[object]:
    shown = ', '.join(change.entries[:MAX_SHOWN_ENTRIES])
    hidden = len(change.entries) - MAX_SHOWN_ENTRIES
    return [
        change.base,
        change.revision,
        change.author,
        times.format_utc(change.at),
        change.result,
        change.change_id,
        f'{shown} and {hidden} more' if hidden > 0 else shown,
    ]
