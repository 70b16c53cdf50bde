"""Whole documents and audit pages stored in the key-value service."""

from __future__ import annotations

import msgspec

from yuccarill.core.config import deltas
from yuccarill.core.config import head as head_module
from yuccarill.core.config.head import Change
from yuccarill.core.config.head import Checkpoint
from yuccarill.core.config.head import Head
from yuccarill.core.config.inventory import Inventory
from yuccarill.core.config import store_actions
from yuccarill.core import errors
from yuccarill.core.ids import Revision

# Number of keys that documents rotate through, which bounds their storage
# without deletions. A reader finds its document replaced only after this many
# checkpoints, and detects that by the revision.
RING_SIZE = 4
MAX_LOADS = 3


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """The whole inventory of one revision."""

    revision: Revision
    inventory: Inventory


class AuditPage(msgspec.Struct, frozen=True, kw_only=True):
    """Changes that were moved out of the head, oldest first."""

    # The last revision of the preceding page, 0 for none.
    previous: Revision
    changes: tuple[Change, ...]


class LoadedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """The current configuration, as read from the platform."""

    head: Head
    # Version of the head's key, which the next swap has to expect.
    version: int
    inventory: Inventory


def document_key(number: int) -> str:
    """Return the key of a checkpoint's document."""
    return f'config/documents/{number % RING_SIZE}'


def page_key(last: Revision) -> str:
    """Return the key of the audit page that ends with a revision."""
    return f'config/audit/{last:08d}'


def read_head(
    step: store_actions.StoreStep,
) -> store_actions.StoreProcedure[tuple[Head, int]]:
    """Read the head and the version of its key.

    Raises StoreUnavailable.
    """
    outcome = yield store_actions.Read(step, head_module.HEAD_KEY)
    if not isinstance(outcome, store_actions.Found):
        raise unavailable('the head was not read')
    if outcome.version == 0:
        return Head(), 0
    return head_module.decode(outcome.value), outcome.version


def load() -> store_actions.StoreProcedure[LoadedConfiguration]:
    """Read the whole current configuration.

    Raises StoreUnavailable.
    """
    for _ in range(MAX_LOADS):
        head, version = yield from read_head(store_actions.StoreStep.READ_HEAD)
        inventory = yield from read_inventory(head)
        if inventory is not None:
            return LoadedConfiguration(
                head=head, version=version, inventory=inventory
            )
    raise unavailable('the document was replaced while it was read')


def read_inventory(
    head: Head,
) -> store_actions.StoreProcedure[Inventory | None]:
    """Return the inventory of a head, None if its document was replaced.

    Raises StoreUnavailable.
    """
    inventory = Inventory()
    if head.checkpoint.number:
        key = document_key(head.checkpoint.number)
        outcome = yield store_actions.Read(
            store_actions.StoreStep.READ_DOCUMENT, key
        )
        if not isinstance(outcome, store_actions.Found):
            raise unavailable('the document was not read')
        if outcome.version == 0:
            return None
        document = msgspec.json.decode(outcome.value, type=Document)
        if document.revision != head.checkpoint.revision:
            return None
        inventory = document.inventory
    for change in head.changes:
        if change.delta is not None:
            inventory = deltas.apply_to(inventory, change.delta)
    if head.changes and deltas.digest(inventory) != head.changes[-1].digest:
        raise unavailable('the document does not match the digest of the head')
    return inventory


def read_page(last: Revision) -> store_actions.StoreProcedure[AuditPage]:
    """Read the audit page that ends with a revision.

    Raises StoreUnavailable, or RequestError if there is no such page.
    """
    outcome = yield store_actions.Read(
        store_actions.StoreStep.LOOK_UP_CHANGE, page_key(last)
    )
    if not isinstance(outcome, store_actions.Found):
        raise unavailable('the audit page was not read')
    if outcome.version == 0:
        raise errors.RequestError(
            f'No audit page ends with revision {last}; read the newest page.'
        )
    return msgspec.json.decode(outcome.value, type=AuditPage)


def head_audit_page(head: Head) -> AuditPage:
    """Return the changes that are still in the head, as an audit page."""
    return AuditPage(previous=head.checkpoint.revision, changes=head.changes)


def write_checkpoint(
    head: Head, inventory: Inventory
) -> store_actions.StoreProcedure[Checkpoint]:
    """Store the whole current revision, and its changes as an audit page.

    Raises StoreUnavailable; the head is unchanged.
    """
    # Both writes repeat state that is committed already: concurrent writers
    # write the same bytes, and a crash in between leaves no wrong data.
    page = msgspec.json.encode(head_audit_page(head))
    outcome = yield store_actions.Swap(
        store_actions.StoreStep.WRITE_AUDIT_PAGE,
        page_key(head.revision),
        page,
        0,
    )
    if isinstance(outcome, store_actions.NoReply):
        raise unavailable('the audit page was not written')
    number = head.checkpoint.number + 1
    document = Document(revision=head.revision, inventory=inventory)
    yield from _write_document(document_key(number), document)
    return Checkpoint(number, head.revision)


def unavailable(cause: str) -> errors.StoreUnavailable:
    """Return the error for an attempt that changed nothing."""
    return errors.StoreUnavailable(
        f'The key-value service did not answer: {cause}. This attempt has '
        'changed nothing and will change nothing; try again.',
        retry_after=1.0,
    )


def _write_document(
    key: str, document: Document
) -> store_actions.StoreProcedure[None]:
    previous = yield store_actions.Read(store_actions.StoreStep.READ_SLOT, key)
    if not isinstance(previous, store_actions.Found):
        raise unavailable('the previous document was not read')
    if previous.version and _revision_of(previous.value) == document.revision:
        return
    outcome = yield store_actions.Swap(
        store_actions.StoreStep.WRITE_DOCUMENT,
        key,
        msgspec.json.encode(document),
        previous.version,
    )
    if not isinstance(outcome, store_actions.Swapped):
        raise unavailable('the document was not written')


class _RevisionOnly(msgspec.Struct):
    revision: Revision


def _revision_of(data: bytes) -> Revision:
    return msgspec.json.decode(data, type=_RevisionOnly).revision
