"""Show who changed what."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import times
from yuccarill.wire import operators

if TYPE_CHECKING:
    from yuccarill.cli.session import Session

SHOWN_ENTRIES = 4


@click.command('audit')
@click.option(
    '--last',
    type=click.IntRange(min=1),
    help='Last revision of the page; the newest page if not given.',
)
@output.option
@click.pass_obj
def command(session: Session, last: int | None, form: OutputForm) -> None:
    """Show a page of the changes, and where the page before it ends."""
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
    named = ', '.join(change.entries[:SHOWN_ENTRIES])
    hidden = len(change.entries) - SHOWN_ENTRIES
    return [
        change.base,
        change.revision,
        change.author,
        times.shown(change.at),
        change.result,
        change.change_id,
        f'{named} and {hidden} more' if hidden > 0 else named,
    ]
