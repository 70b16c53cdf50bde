"""Apply an inventory document."""

from __future__ import annotations

import getpass
from typing import TYPE_CHECKING
import uuid

import click

from yuccarill.cli import current_configuration
from yuccarill.cli import differences
from yuccarill.cli import documents
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.cli import failures
from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.wire import operators

if TYPE_CHECKING:
    import pathlib

    from yuccarill.cli.documents import LoadedDocument
    from yuccarill.cli.session import Session


@click.command('apply')
@documents.file_argument
@click.option(
    '--base',
    type=click.IntRange(min=0),
    help='Revision that FILE changes; the current one if not given.',
)
@click.option(
    '--author', default=getpass.getuser, help='Author for the audit trail.'
)
@click.option(
    '--change-id',
    default=lambda: uuid.uuid4().hex,
    help='Retry a change of unknown outcome; give its --base too.',
)
@click.pass_obj
def command(
    session: Session,
    file: pathlib.Path,
    base: int | None,
    author: str,
    change_id: str,
) -> None:
    """Apply FILE as the next revision.

    The change is refused if another one was applied after --base.
    """
    document = documents.load(file)
    session.run(_apply(session, document, base, author, ChangeId(change_id)))


async def _apply(
    session: Session,
    document: LoadedDocument,
    base: int | None,
    author: str,
    change_id: ChangeId,
) -> None:
    if base is None:
        current = await current_configuration.read(session)
        click.echo(current_configuration.describe(current))
        differences.print_list(
            differences.between(current.inventory, document.inventory)
        )
        base = current.revision
    request = operators.ApplyRequest(
        author=author,
        base=Revision(base),
        document=document.raw,
        change_id=change_id,
    )
    reply = await _send(session, document, request)
    click.echo(
        f'Revision {reply.revision} is current ({reply.outcome}, change '
        f'{reply.change_id}).'
    )


async def _send(
    session: Session, document: LoadedDocument, request: operators.ApplyRequest
) -> operators.ApplyReply:
    subject = f'Change {request.change_id}'
    try:
        return await session.write(
            'operators/configuration', request, operators.ApplyReply, subject
        )
    except failures.OutcomeUnknown as failure:
        return await _resolve_outcome(session, request, failure)
    except failures.Refused as refusal:
        if refusal.exit_code == ExitCode.CONFLICT:
            await _show_conflict(session, document)
        raise


async def _resolve_outcome(
    session: Session,
    request: operators.ApplyRequest,
    failure: failures.OutcomeUnknown,
) -> operators.ApplyReply:
    """Read the audit trail to find whether a change was applied.

    Raises Refused if another change took the revision, else OutcomeUnknown.
    """
    # Instances read the audit trail from the platform's store, so unlike the
    # configuration in force at an instance, the trail does not lag.
    page = None
    try:
        page = await session.read(
            'operators/audit', operators.AuditReply, failure.address
        )
    except failures.CommandFailure as error:
        click.echo(error.message, err=True)
    revision = Revision(request.base + 1)
    for change in page.changes if page else ():
        if change.revision != revision:
            continue
        if change.change_id == request.change_id:
            return operators.ApplyReply(
                revision=revision, change_id=change.change_id
            )
        raise failures.refused(
            errors.RevisionConflict(
                f'Revision {revision} was made by {change.author} instead; '
                'see "yuccarill diff".'
            )
        ) from failure
    raise failures.OutcomeUnknown(
        f'{failure.message}\nLook for the change with "yuccarill audit", or '
        f'apply it again with --base {request.base} --change-id '
        f'{request.change_id}, which makes at most one revision.'
    ) from failure


async def _show_conflict(session: Session, document: LoadedDocument) -> None:
    current = await current_configuration.read(session)
    click.echo(current_configuration.describe(current), err=True)
    changes_left = differences.between(current.inventory, document.inventory)
    text = 'would change:' if changes_left else 'would change nothing.'
    click.echo(f'Applying the file to this revision {text}', err=True)
    differences.print_list(changes_left, to_stderr=True)
