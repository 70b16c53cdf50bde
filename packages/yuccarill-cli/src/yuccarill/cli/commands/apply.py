"""Apply an inventory document."""

from __future__ import annotations

import getpass
from typing import TYPE_CHECKING
import uuid

import click

from yuccarill.cli import differences
from yuccarill.cli import documents
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.cli import failures
from yuccarill.cli import standing as standing_module
from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.wire import operators

if TYPE_CHECKING:
    import pathlib

    from yuccarill.cli.documents import Loaded
    from yuccarill.cli.session import Session


@click.command('apply')
@documents.argument
@click.option(
    '--base',
    type=click.IntRange(min=0),
    help='Revision that FILE changes; the one that stands if not given.',
)
@click.option(
    '--author', default=getpass.getuser, help='Who the audit trail names.'
)
@click.option(
    '--change-id',
    default=lambda: uuid.uuid4().hex,
    help='Repeats a change of unknown outcome; give its --base too.',
)
@click.pass_obj
def command(
    session: Session,
    file: pathlib.Path,
    base: int | None,
    author: str,
    change_id: str,
) -> None:
    """Make FILE the next revision.

    The change is refused if another one came after --base.
    """
    loaded = documents.load(file)
    session.run(_apply(session, loaded, base, author, ChangeId(change_id)))


async def _apply(
    session: Session,
    loaded: Loaded,
    base: int | None,
    author: str,
    change_id: ChangeId,
) -> None:
    if base is None:
        standing = await standing_module.read(session)
        click.echo(standing_module.describe(standing))
        differences.print_list(
            differences.between(standing.inventory, loaded.inventory)
        )
        base = standing.revision
    request = operators.ApplyRequest(
        author=author,
        base=Revision(base),
        document=loaded.plain,
        change_id=change_id,
    )
    reply = await _send(session, loaded, request)
    click.echo(
        f'Revision {reply.revision} stands ({reply.outcome}, change '
        f'{reply.change_id}).'
    )


async def _send(
    session: Session, loaded: Loaded, request: operators.ApplyRequest
) -> operators.ApplyReply:
    what = f'Change {request.change_id}'
    try:
        return await session.write(
            'operators/configuration', request, operators.ApplyReply, what
        )
    except failures.OutcomeUnknown as failure:
        return await _settle(session, request, failure)
    except failures.Refused as refusal:
        if refusal.exit_code == ExitCode.CONFLICT:
            await _show_conflict(session, loaded)
        raise


async def _settle(
    session: Session,
    request: operators.ApplyRequest,
    failure: failures.OutcomeUnknown,
) -> operators.ApplyReply:
    """Look whether a change stands; it is not sent again.

    Raises Refused if it never will, and the failure if that is open.
    """
    # The audit trail is read from the platform, so it does not lag as what
    # an instance has in force does.
    page = None
    try:
        page = await session.read(
            'operators/audit', operators.AuditReply, failure.address
        )
    except failures.CommandFailure as error:
        click.echo(error.message, err=True)
    made = Revision(request.base + 1)
    for change in page.changes if page else ():
        if change.revision != made:
            continue
        if change.change_id == request.change_id:
            return operators.ApplyReply(
                revision=made, change_id=change.change_id
            )
        raise failures.refused(
            errors.RevisionConflict(
                f'Revision {made} was made by {change.author} instead; see '
                '"yuccarill diff".'
            )
        ) from failure
    raise failures.OutcomeUnknown(
        f'{failure.message}\nLook for it with "yuccarill audit", or apply '
        f'it again with --base {request.base} --change-id '
        f'{request.change_id}, which makes one revision at most.'
    ) from failure


async def _show_conflict(session: Session, loaded: Loaded) -> None:
    standing = await standing_module.read(session)
    click.echo(standing_module.describe(standing), err=True)
    found = differences.between(standing.inventory, loaded.inventory)
    text = 'would change:' if found else 'would change nothing.'
    click.echo(f'Applying the file to it {text}', err=True)
    differences.print_list(found, to_stderr=True)
