"""Build the audit reply for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.config import deltas
from yuccarill.core.errors import ResultCode
from yuccarill.core.ids import Revision
from yuccarill.wire import operators

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.config.documents import AuditPage
    from yuccarill.core.config.head import Change
    from yuccarill.daemon.controllers.configuration import Refusal


def reply(
    page: AuditPage, refusals: Iterable[Refusal] = ()
) -> operators.AuditReply:
    """Return a page of the audit log merged with local refusals, by time."""
    entries = [_applied(change) for change in page.changes]
    entries += [_refused(refusal) for refusal in refusals]
    return operators.AuditReply(
        changes=tuple(sorted(entries, key=lambda entry: entry.at)),
        previous=page.previous,
    )


def _applied(change: Change) -> operators.AuditEntry:
    touched = deltas.changed_entries(change.delta) if change.delta else ()
    return operators.AuditEntry(
        base=Revision(change.revision - 1),
        revision=change.revision,
        change_id=change.change_id,
        author=change.author,
        at=change.applied_at,
        result='applied',
        entries=tuple(sorted(touched)),
    )


def _refused(refusal: Refusal) -> operators.AuditEntry:
    return operators.AuditEntry(
        base=refusal.base,
        revision=None,
        change_id=refusal.change_id,
        author=refusal.author,
        at=refusal.refused_at,
        result=f'refused {ResultCode(refusal.code).name}',
    )
