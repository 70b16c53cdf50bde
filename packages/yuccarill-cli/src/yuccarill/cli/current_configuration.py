"""Read the current configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.cli import failures
from yuccarill.cli import times
from yuccarill.core.errors import ResultCode
from yuccarill.wire import operators

if TYPE_CHECKING:
    from yuccarill.cli.session import Session


async def read(session: Session) -> operators.Configuration:
    """Return the current configuration; revision 0 if there is none."""
    try:
        return await session.read(
            'operators/configuration', operators.Configuration
        )
    except failures.Refused as refusal:
        if refusal.code != ResultCode.NO_CONFIGURATION:
            raise
        return operators.Configuration()


def describe(current: operators.Configuration) -> str:
    """Return a line that describes the current configuration."""
    if not current.revision:
        return 'No revision has been applied yet.'
    return (
        f'Revision {current.revision} by {current.author} is current since '
        f'{times.format_utc(current.applied_at)}.'
    )
