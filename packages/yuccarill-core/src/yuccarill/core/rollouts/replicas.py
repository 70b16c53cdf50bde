"""Choose the disk instances that replicate a step's samples."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set

# Number of replicas; one of two survives the loss of a data centre.
COPIES = 2
# Store key of the list of disks.
DISKS_KEY = 'disks'


class Disk(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an instance that stores samples on a disk."""

    instance: InstanceId
    data_centre: DataCentreId
    # Written to the data folder once. An emptied or replaced disk gets a new
    # id, so that it doesn't count as a replica of earlier samples.
    store_id: str


def choose(
    duty: str,
    disks: Iterable[Disk],
    usable: Set[InstanceId],
    held: Iterable[Disk] = (),
) -> list[Disk]:
    """Return the disks to add to `held`, the preferred first.

    Disks in other data centres than the held ones come first. Fewer disks are
    returned if not enough are usable.
    """
    disks_by_id = {d.instance: d for d in disks if d.instance in usable}
    chosen = [d for d in held if disks_by_id.get(d.instance) == d]
    held_count = len(chosen)
    order = [disks_by_id[i] for i in placement.rank(duty, disks_by_id)]
    while len(chosen) < COPIES:
        centres = {disk.data_centre for disk in chosen}
        candidates = [disk for disk in order if disk not in chosen]
        candidates.sort(key=lambda disk: disk.data_centre in centres)
        if not candidates:
            break
        chosen.append(candidates[0])
    return chosen[held_count:]
