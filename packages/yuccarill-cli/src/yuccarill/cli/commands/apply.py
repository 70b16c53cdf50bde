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
    except failures.CommandFailure as failure:
        match failure.exit_code:
            case ExitCode.CONFLICT:
                await _show_conflict(session, loaded)
            case ExitCode.OUTCOME_UNKNOWN:
                return await _settle(session, request, failure)
        raise


async def _settle(
    session: Session,
    request: operators.ApplyRequest,
    failure: failures.CommandFailure,
) -> operators.ApplyReply:
    """Look whether a change stands; it is not sent again."""
    standing = None
    try:
        standing = await standing_module.read(session)
    except failures.CommandFailure as error:
        click.echo(error.message, err=True)
    if standing is not None and standing.change_id == request.change_id:
        return operators.ApplyReply(
            outcome='applied',
            revision=standing.revision,
            change_id=standing.change_id,
        )
    raise failures.CommandFailure(
        f'{failure.message}\nThe outcome of change {request.change_id} is '
        'unknown. Look for it with "yuccarill audit", or apply it again with '
        f'--base {request.base} --change-id {request.change_id}, which makes '
        'one revision at most.',
        ExitCode.OUTCOME_UNKNOWN,
    ) from failure


async def _show_conflict(session: Session, loaded: Loaded) -> None:
    standing = await standing_module.read(session)
    click.echo(standing_module.describe(standing), err=True)
    found = differences.between(standing.inventory, loaded.inventory)
    text = 'would change:' if found else 'would change nothing.'
    click.echo(f'Applying the file to it {text}', err=True)
    differences.print_list(found, to_stderr=True)
