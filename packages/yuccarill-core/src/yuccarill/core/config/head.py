"""The record that defines the current configuration."""

from __future__ import annotations

import msgspec

from yuccarill.core.config.deltas import Delta
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

HEAD_KEY = 'config/head'

# Limits of the changes in a head; beyond them a checkpoint is due.
MAX_CHANGES = 16
MAX_CHANGES_BYTES = 16_000
# Limits in heads sent to peers: of all changes; of a change with its delta.
MAX_SENT_TOTAL_BYTES = 2_000
MAX_SENT_CHANGE_BYTES = 16_000


class Change(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One change and its author, an entry of the audit trail."""

    # The revision that the change made, based on the preceding one.
    revision: Revision
    change_id: ChangeId
    author: str
    applied_at: WallTime
    # Digest of the whole inventory after the change.
    digest: str
    # None if the delta is too large to send between instances.
    delta: Delta | None = None


class Checkpoint(msgspec.Struct, frozen=True):
    """Reference to the whole document that a head's changes start from."""

    # Number of checkpoints so far; determines the key of the document.
    number: int = 0
    # The last revision that the document and the audit pages cover.
    revision: Revision = Revision(0)


class Head(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The latest changes and a reference to the preceding document."""

    checkpoint: Checkpoint = Checkpoint()
    # Sorted by revision; the last one is the current revision.
    changes: tuple[Change, ...] = ()
    # Count of fences: writes that only make delayed earlier writes fail.
    fence: int = 0

    @property
    def revision(self) -> Revision:
        return self.changes[-1].revision if self.changes else Revision(0)

    def change_at(self, revision: Revision) -> Change | None:
        """Return the change that made a revision, None if not in the head."""
        for change in self.changes:
            if change.revision == revision:
                return change
        return None


def encode(head: Head) -> bytes:
    """Encode a head for the key-value service or a peer."""
    return msgspec.json.encode(head)


def decode(data: bytes) -> Head:
    return msgspec.json.decode(data, type=Head)


def is_checkpoint_due(head: Head) -> bool:
    """Return whether a checkpoint is due before the next change."""
    if len(head.changes) >= MAX_CHANGES:
        return True
    return len(msgspec.json.encode(head.changes)) > MAX_CHANGES_BYTES


def trim_for_peers(head: Head) -> Head:
    """Return a head with only the latest changes, for sending to peers."""
    kept: list[Change] = []
    size = 0
    for change in reversed(head.changes):
        length = len(msgspec.json.encode(change))
        size += length
        if kept and size > MAX_SENT_TOTAL_BYTES:
            break
        if length > MAX_SENT_CHANGE_BYTES:
            change = without_delta(change)
        kept.insert(0, change)
    return Head(checkpoint=head.checkpoint, changes=tuple(kept))


def without_delta(change: Change) -> Change:
    return msgspec.structs.replace(change, delta=None)
