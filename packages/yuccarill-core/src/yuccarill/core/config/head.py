"""The one record that says which configuration stands."""

from __future__ import annotations

import msgspec

from yuccarill.core.config.deltas import Delta
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

HEAD_KEY = 'config/head'

# Changes that a head carries before the next checkpoint is due.
MAX_CHANGES = 16
MAX_CHANGES_BYTES = 16_000
# What a head may weigh on its way between instances.
MAX_PASSED_BYTES = 2_000
MAX_PASSED_DELTA_BYTES = 16_000


class Change(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Record who changed what; the audit trail is made of these."""

    # The revision that the change made; it was made from the one before.
    revision: Revision
    change_id: ChangeId
    author: str
    applied_at: WallTime
    # Digest of the whole inventory after the change.
    digest: str
    # Left out where a head on its way would grow too large.
    delta: Delta | None = None


class Checkpoint(msgspec.Struct, frozen=True):
    """Name the whole document that a head's changes start from."""

    # Counts checkpoints; it names the key that holds the document.
    number: int = 0
    # The last revision that the document and the audit pages cover.
    revision: Revision = Revision(0)


class Head(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold the last changes and where the rest is kept."""

    checkpoint: Checkpoint = Checkpoint()
    # In the order of their revisions, the standing one last.
    changes: tuple[Change, ...] = ()
    # Counts the writes that only made earlier, delayed ones fail.
    fence: int = 0

    @property
    def revision(self) -> Revision:
        return self.changes[-1].revision if self.changes else Revision(0)

    def change_at(self, revision: Revision) -> Change | None:
        """Return the change that made a revision, if it is still here."""
        for change in self.changes:
            if change.revision == revision:
                return change
        return None


def encode(head: Head) -> bytes:
    """Encode a head for the key-value service or a peer."""
    return msgspec.json.encode(head)


def decode(data: bytes) -> Head:
    """Decode a head."""
    return msgspec.json.decode(data, type=Head)


def is_checkpoint_due(head: Head) -> bool:
    """Tell whether the next change needs a checkpoint first."""
    if len(head.changes) >= MAX_CHANGES:
        return True
    return len(msgspec.json.encode(head.changes)) > MAX_CHANGES_BYTES


def trimmed(head: Head) -> Head:
    """Return a head with the few last changes that peers pass on."""
    kept: list[Change] = []
    size = 0
    for change in reversed(head.changes):
        length = len(msgspec.json.encode(change))
        size += length
        if kept and size > MAX_PASSED_BYTES:
            break
        if length > MAX_PASSED_DELTA_BYTES:
            change = without_delta(change)
        kept.insert(0, change)
    return Head(checkpoint=head.checkpoint, changes=tuple(kept))


def without_delta(change: Change) -> Change:
    """Return a change that only says which revision stands."""
    return msgspec.structs.replace(change, delta=None)
