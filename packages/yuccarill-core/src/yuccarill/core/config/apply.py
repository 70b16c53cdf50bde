"""Write an inventory as the next revision, by compare-and-swap."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.config import deltas
from yuccarill.core.config import documents
from yuccarill.core.config import head as head_module
from yuccarill.core.config.head import Change
from yuccarill.core.config.head import Head
from yuccarill.core.config.inventory import Inventory
from yuccarill.core.config import store_actions
from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

if TYPE_CHECKING:
    from yuccarill.core.config.snapshot import Snapshot

MAX_SETTLE_ATTEMPTS = 2
SETTLE_WAIT_SECONDS = 0.5
MAX_SWAPS = 3
# Audit pages to read when searching for a change older than the head.
MAX_AUDIT_PAGES = 64
# Size limit of one value in the key-value service.
MAX_HEAD_BYTES = 1_000_000
MAX_NAMED_ENTRIES = 10


class ApplyOutcome(enum.Enum):
    """Outcome of an apply that was not refused."""

    APPLIED = 'applied'
    UNCHANGED = 'unchanged'


class ApplyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to make a validated inventory the next revision."""

    change_id: ChangeId
    author: str
    applied_at: WallTime
    base: Revision
    inventory: Inventory


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an apply that was not refused."""

    outcome: ApplyOutcome
    revision: Revision
    change_id: ChangeId
    # The head that was written or read; newer heads may exist.
    head: Head


def apply(
    request: ApplyRequest, local: Snapshot | None = None
) -> store_actions.StoreProcedure[ApplyResult]:
    """Write the next revision.

    Raises RevisionConflict, InventoryInvalid or StoreUnavailable if the
    change has not taken effect and never will, ApplyOutcomeUnknown if the
    outcome is unknown; `resolve_outcome` finds it once the service answers.
    """
    head, version = yield from documents.read_head(
        store_actions.StoreStep.READ_HEAD
    )
    for _ in range(MAX_SWAPS):
        change = yield from _find_committed(head, request)
        if change is not None:
            return _applied_result(change, head)
        if head.revision != request.base:
            raise conflict(request.base, head)
        inventory = yield from _current_inventory(head, local)
        delta = deltas.delta_between(inventory, request.inventory)
        if delta.is_empty:
            return _unchanged_result(head)
        new_head = yield from _next_head(head, inventory, request, delta)
        outcome = yield store_actions.Swap(
            store_actions.StoreStep.SWAP_HEAD,
            head_module.HEAD_KEY,
            head_module.encode(new_head),
            version,
        )
        match outcome:
            case store_actions.Swapped():
                return _applied_result(new_head.changes[-1], new_head)
            case store_actions.Conflict():
                # The other write may be a fence, which keeps the revision;
                # this change can still be applied then.
                head, version = yield from _read_back(request)
            case _:
                return (yield from resolve_outcome(request, version))
    return (yield from resolve_outcome(request, version))


def resolve_outcome(
    request: ApplyRequest, expected: int | None
) -> store_actions.StoreProcedure[ApplyResult]:
    """Find the outcome of a swap whose reply was lost.

    `expected` is the version that the swap expected, None if unknown.
    Raises the same errors as `apply`.
    """
    for attempt in range(MAX_SETTLE_ATTEMPTS):
        if attempt:
            yield store_actions.Wait(SETTLE_WAIT_SECONDS)
        try:
            head, version = yield from documents.read_head(
                store_actions.StoreStep.READ_BACK
            )
            change = yield from _find_committed(head, request)
        except errors.StoreUnavailable:
            continue
        # The change may be committed and later revisions may follow; its id
        # identifies it. Otherwise an operator would be told that the change
        # conflicts with itself.
        if change is not None:
            return _applied_result(change, head)
        if head.revision != request.base:
            raise conflict(request.base, head)
        is_superseded = expected is not None and version != expected
        if is_superseded or (yield from _fence(head, version)):
            raise documents.unavailable('the change was not written')
    raise errors.ApplyOutcomeUnknown(
        f'Change {request.change_id} may have become, or may still become, '
        f'revision {request.base + 1}; the key-value service did not answer. '
        'Apply it again with the same change id, or read the audit trail.',
        retry_after=1.0,
    )


def _fence(head: Head, version: int) -> store_actions.StoreProcedure[bool]:
    # A delayed swap could take effect after the operator was told that it
    # failed. Writing a new version of the head makes the service refuse the
    # delayed swap, since that expects the old version.
    fenced = msgspec.structs.replace(head, fence=head.fence + 1)
    outcome = yield store_actions.Swap(
        store_actions.StoreStep.FENCE,
        head_module.HEAD_KEY,
        head_module.encode(fenced),
        version,
    )
    return isinstance(outcome, store_actions.Swapped)


def conflict(base: Revision, head: Head) -> errors.RevisionConflict:
    """Return an error that names the current revision and its changes."""
    if not head.changes:
        return errors.RevisionConflict(
            'No revision exists yet, but the change is based on revision '
            f'{base}; apply it from revision 0.'
        )
    current = head.changes[-1]
    entries = sorted(
        entry
        for change in head.changes
        if change.revision > base and change.delta is not None
        for entry in deltas.changed_entries(change.delta)
    )
    names = ', '.join(entries[:MAX_NAMED_ENTRIES])
    more = ' and more' if len(entries) > MAX_NAMED_ENTRIES else ''
    return errors.RevisionConflict(
        f'Revision {current.revision} by {current.author} is current, but '
        f'the change is based on revision {base}. Changed since: '
        f'{names}{more}. Compare with "yuccarill diff", then apply the change '
        'from the current revision.'
    )


def _read_back(
    request: ApplyRequest,
) -> store_actions.StoreProcedure[tuple[Head, int]]:
    try:
        return (
            yield from documents.read_head(store_actions.StoreStep.READ_BACK)
        )
    except errors.StoreUnavailable as error:
        raise errors.ApplyOutcomeUnknown(
            f'Change {request.change_id} has taken effect, or another write '
            'replaced the head first; apply it again with the same change id.',
            retry_after=1.0,
        ) from error


def _find_committed(
    head: Head, request: ApplyRequest
) -> store_actions.StoreProcedure[Change | None]:
    """Return the change that the request has already made, if any."""
    number = Revision(request.base + 1)
    if head.revision < number:
        return None
    change = head.change_at(number)
    last = head.checkpoint.revision
    for _ in range(MAX_AUDIT_PAGES):
        if change is not None or last < number:
            break
        page = yield from documents.read_page(last)
        last = page.previous
        change = next((c for c in page.changes if c.revision == number), None)
    if change is not None and change.change_id == request.change_id:
        return change
    return None


def _current_inventory(
    head: Head, local: Snapshot | None
) -> store_actions.StoreProcedure[Inventory]:
    if not head.changes:
        return Inventory()
    if local is not None and local.digest == head.changes[-1].digest:
        return local.inventory
    inventory = yield from documents.read_inventory(head)
    if inventory is None:
        raise documents.unavailable('the document was replaced')
    return inventory


def _next_head(
    head: Head,
    inventory: Inventory,
    request: ApplyRequest,
    delta: deltas.Delta,
) -> store_actions.StoreProcedure[Head]:
    checkpoint, changes = head.checkpoint, head.changes
    if head_module.is_checkpoint_due(head):
        checkpoint = yield from documents.write_checkpoint(head, inventory)
        changes = ()
    change = Change(
        revision=Revision(request.base + 1),
        change_id=request.change_id,
        author=request.author,
        applied_at=request.applied_at,
        digest=deltas.digest(request.inventory),
        delta=delta,
    )
    new_head = Head(
        checkpoint=checkpoint, changes=(*changes, change), fence=head.fence
    )
    if len(head_module.encode(new_head)) > MAX_HEAD_BYTES:
        raise errors.InventoryInvalid(
            'The change is too large for one revision; apply it in parts.'
        )
    return new_head


def _applied_result(change: Change, head: Head) -> ApplyResult:
    return ApplyResult(
        outcome=ApplyOutcome.APPLIED,
        revision=change.revision,
        change_id=change.change_id,
        head=head,
    )


def _unchanged_result(head: Head) -> ApplyResult:
    current = head.changes[-1] if head.changes else None
    return ApplyResult(
        outcome=ApplyOutcome.UNCHANGED,
        revision=head.revision,
        change_id=current.change_id if current else ChangeId(''),
        head=head,
    )
