"""Track the newest configuration received from the platform or peers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from yuccarill.core.config import deltas
from yuccarill.core.config import head as head_module
from yuccarill.core.config.inventory import Inventory
from yuccarill.core.config import snapshot as snapshot_module
from yuccarill.core import errors

if TYPE_CHECKING:
    from yuccarill.core.config.head import Change
    from yuccarill.core.config.head import Head
    from yuccarill.core.config.snapshot import Snapshot
    from yuccarill.core.ids import Revision


class OfferOutcome(enum.Enum):
    """Outcome of offering a head or a document."""

    APPLIED = 'taken'
    NOT_NEWER = 'not newer'
    # A delta is missing or leads to another digest; the whole document is
    # needed.
    GAP = 'gap'


class Follower:
    """Apply deltas in order, and whole documents if they are newer."""

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None

    @property
    def revision(self) -> Revision:
        """Return the revision of the snapshot, 0 for none."""
        if self.snapshot is None:
            return head_module.Head().revision
        return self.snapshot.revision

    def offer(self, head: Head) -> OfferOutcome:
        """Apply the deltas of a newer head."""
        if head.revision <= self.revision:
            return OfferOutcome.NOT_NEWER
        inventory = self.snapshot.inventory if self.snapshot else Inventory()
        missing = [c for c in head.changes if c.revision > self.revision]
        if missing[0].revision != self.revision + 1:
            return OfferOutcome.GAP
        try:
            for change in missing:
                if change.delta is None:
                    return OfferOutcome.GAP
                inventory = deltas.apply_to(inventory, change.delta)
        except errors.InventoryInvalid:
            return OfferOutcome.GAP
        return self.install(missing[-1], inventory)

    def install(self, change: Change, inventory: Inventory) -> OfferOutcome:
        """Replace the snapshot by an inventory and the change that made it."""
        if change.revision <= self.revision:
            return OfferOutcome.NOT_NEWER
        # A lost or duplicated delta would corrupt all later revisions and
        # route requests by an inventory that no operator applied. The digest
        # covers the whole inventory.
        if deltas.digest(inventory) != change.digest:
            return OfferOutcome.GAP
        self.snapshot = snapshot_module.Snapshot(
            head_module.without_delta(change), inventory
        )
        return OfferOutcome.APPLIED
