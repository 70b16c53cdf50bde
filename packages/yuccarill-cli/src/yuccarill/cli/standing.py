"""Read the configuration that stands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.cli import failures
from yuccarill.cli import times
from yuccarill.core.errors import ResultCode
from yuccarill.wire import operators

if TYPE_CHECKING:
    from yuccarill.cli.session import Session


async def read(session: Session) -> operators.Configuration:
    """Return what stands, revision 0 if nothing was applied yet."""
    try:
        return await session.read(
            'operators/configuration', operators.Configuration
        )
    except failures.Refused as refusal:
        if refusal.code != ResultCode.NO_CONFIGURATION:
            raise
        return operators.Configuration()


def describe(standing: operators.Configuration) -> str:
    """Return one line about what stands."""
    if not standing.revision:
        return 'No revision stands yet.'
    return (
        f'Revision {standing.revision} by {standing.author} stands since '
        f'{times.shown(standing.applied_at)}.'
    )
