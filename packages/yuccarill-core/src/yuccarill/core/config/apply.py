"""Make an operator's document the next revision, or say why not."""

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
from yuccarill.core.config import store
from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

if TYPE_CHECKING:
    from yuccarill.core.config.snapshot import Snapshot

SETTLE_TRIES = 2
SETTLE_WAIT_SECONDS = 0.5
SWAP_TRIES = 3
# Audit pages read to find a change that has left the head.
MAX_PAGES_BACK = 64
# What the key-value service takes as one value.
MAX_HEAD_BYTES = 1_000_000
NAMED_ENTRIES = 10


class ApplyOutcome(enum.Enum):
    """Say what an apply came to when it was not refused."""

    APPLIED = 'applied'
    UNCHANGED = 'unchanged'


class ApplyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a checked inventory to become the next revision."""

    change_id: ChangeId
    author: str
    applied_at: WallTime
    base: Revision
    inventory: Inventory


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Say which revision an apply came to."""

    outcome: ApplyOutcome
    revision: Revision
    change_id: ChangeId
    # The head that was written or read; it may have moved on further.
    head: Head


def apply(
    request: ApplyRequest, local: Snapshot | None = None
) -> store.Decision[ApplyResult]:
    """Write the next revision.

    Raises RevisionConflict, InventoryInvalid, StoreUnavailable if the
    change has not taken effect and never will, and ApplyOutcomeUnknown if
    that can't be known yet; then `settle` tells, once the service answers.
    """
    head, version = yield from documents.read_head(store.Step.READ_HEAD)
    for _ in range(SWAP_TRIES):
        standing = yield from _find(head, request)
        if standing is not None:
            return _applied(standing, head)
        if head.revision != request.base:
            raise conflict(request.base, head)
        inventory = yield from _standing_inventory(head, local)
        delta = deltas.between(inventory, request.inventory)
        if delta.is_empty:
            return _unchanged(head)
        new = yield from _successor(head, inventory, request, delta)
        outcome = yield store.Swap(
            store.Step.SWAP_HEAD,
            head_module.HEAD_KEY,
            head_module.encode(new),
            version,
        )
        match outcome:
            case store.Swapped():
                return _applied(new.changes[-1], new)
            case store.Conflict():
                # The version moves without a new revision when another
                # applier fences its own write; that is no race lost.
                head, version = yield from _read_back(request)
            case _:
                return (yield from settle(request, version))
    return (yield from settle(request, version))


def settle(
    request: ApplyRequest, expected: int | None
) -> store.Decision[ApplyResult]:
    """Find out what became of a swap whose reply was lost.

    Names the version that the swap expected, None if it is not known any
    more. Raises as `apply` does.
    """
    for attempt in range(SETTLE_TRIES):
        if attempt:
            yield store.Wait(SETTLE_WAIT_SECONDS)
        try:
            head, version = yield from documents.read_head(
                store.Step.READ_BACK
            )
            change = yield from _find(head, request)
        except errors.StoreUnavailable:
            continue
        # The write may have taken effect although its reply was lost, and
        # others may have built on it since. The operator would apply it
        # again and be told of a conflict with itself; the change id tells.
        if change is not None:
            return _applied(change, head)
        if head.revision != request.base:
            raise conflict(request.base, head)
        is_past = expected is not None and version != expected
        if is_past or (yield from _fence(head, version)):
            raise documents.unavailable('the change was not written')
    raise errors.ApplyOutcomeUnknown(
        f'Change {request.change_id} may or may not stand as revision '
        f'{request.base + 1}, and may until the key-value service answers; '
        'apply it again with the same change id, or read the audit trail.',
        retry_after=1.0,
    )


def _fence(head: Head, version: int) -> store.Decision[bool]:
    # A swap held up in the network could still arrive after the operator
    # was told that it failed, and bring in a change that was given up. It
    # names the version it was sent for; with that version gone the service
    # refuses it for good.
    fenced = msgspec.structs.replace(head, fence=head.fence + 1)
    outcome = yield store.Swap(
        store.Step.FENCE,
        head_module.HEAD_KEY,
        head_module.encode(fenced),
        version,
    )
    return isinstance(outcome, store.Swapped)


def conflict(base: Revision, head: Head) -> errors.RevisionConflict:
    """Return the error that tells whose change stands and what it did."""
    if not head.changes:
        return errors.RevisionConflict(
            f'No revision stands yet, this change is from revision {base}; '
            'apply from revision 0.'
        )
    standing = head.changes[-1]
    entries = sorted(
        entry
        for change in head.changes
        if change.revision > base and change.delta is not None
        for entry in deltas.touched(change.delta)
    )
    named = ', '.join(entries[:NAMED_ENTRIES])
    more = ' and more' if len(entries) > NAMED_ENTRIES else ''
    return errors.RevisionConflict(
        f'Revision {standing.revision} by {standing.author} stands, this '
        f'change is from revision {base}. Changed since: {named}{more}. '
        'Compare with "yuccarill diff" and apply from the standing one.'
    )


def _read_back(
    request: ApplyRequest,
) -> store.Decision[tuple[Head, int]]:
    try:
        return (yield from documents.read_head(store.Step.READ_BACK))
    except errors.StoreUnavailable as error:
        raise errors.ApplyOutcomeUnknown(
            f'Another write came before change {request.change_id}, or it '
            'stands already; apply it again with the same change id.',
            retry_after=1.0,
        ) from error


def _find(head: Head, request: ApplyRequest) -> store.Decision[Change | None]:
    """Return the request's change if it is part of what stands."""
    made = Revision(request.base + 1)
    if head.revision < made:
        return None
    change = head.change_at(made)
    last = head.checkpoint.revision
    for _ in range(MAX_PAGES_BACK):
        if change is not None or last < made:
            break
        page = yield from documents.read_page(last)
        last = page.previous
        change = next((c for c in page.changes if c.revision == made), None)
    if change is not None and change.change_id == request.change_id:
        return change
    return None


def _standing_inventory(
    head: Head, local: Snapshot | None
) -> store.Decision[Inventory]:
    if not head.changes:
        return Inventory()
    if local is not None and local.digest == head.changes[-1].digest:
        return local.inventory
    inventory = yield from documents.read_inventory(head)
    if inventory is None:
        raise documents.unavailable('the document was replaced')
    return inventory


def _successor(
    head: Head,
    inventory: Inventory,
    request: ApplyRequest,
    delta: deltas.Delta,
) -> store.Decision[Head]:
    checkpoint, earlier = head.checkpoint, head.changes
    if head_module.is_checkpoint_due(head):
        checkpoint = yield from documents.write_checkpoint(head, inventory)
        earlier = ()
    change = Change(
        revision=Revision(request.base + 1),
        change_id=request.change_id,
        author=request.author,
        applied_at=request.applied_at,
        digest=deltas.digest(request.inventory),
        delta=delta,
    )
    new = Head(
        checkpoint=checkpoint, changes=(*earlier, change), fence=head.fence
    )
    if len(head_module.encode(new)) > MAX_HEAD_BYTES:
        raise errors.InventoryInvalid(
            'The change is too large for one step; apply half of it first.'
        )
    return new


def _applied(change: Change, head: Head) -> ApplyResult:
    return ApplyResult(
        outcome=ApplyOutcome.APPLIED,
        revision=change.revision,
        change_id=change.change_id,
        head=head,
    )


def _unchanged(head: Head) -> ApplyResult:
    standing = head.changes[-1] if head.changes else None
    return ApplyResult(
        outcome=ApplyOutcome.UNCHANGED,
        revision=head.revision,
        change_id=standing.change_id if standing else ChangeId(''),
        head=head,
    )
