"""Choose the disk instances that keep a step's samples."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set

# One copy survives the loss of a data centre.
COPIES = 2

DISKS_KEY = 'disks'


class Disk(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an instance that keeps samples on a disk."""

    instance: InstanceId
    data_centre: DataCentreId
    # Written into the data folder once; an emptied or replaced disk is
    # another one, which no earlier copy counts on.
    store_id: str


def choose(
    duty: str,
    disks: Iterable[Disk],
    usable: Set[InstanceId],
    held: Iterable[Disk] = (),
) -> list[Disk]:
    """Return the disks to add to those held, the preferred first.

    Other data centres than the held ones come first, then the rest. Fewer
    than wanted are returned where fewer are usable.
    """
    disks_by_id = {d.instance: d for d in disks if d.instance in usable}
    chosen = [d for d in held if disks_by_id.get(d.instance) == d]
    kept = len(chosen)
    order = [disks_by_id[i] for i in placement.rank(duty, disks_by_id)]
    while len(chosen) < COPIES:
        centres = {disk.data_centre for disk in chosen}
        rest = [disk for disk in order if disk not in chosen]
        rest.sort(key=lambda disk: disk.data_centre in centres)
        if not rest:
            break
        chosen.append(rest[0])
    return chosen[kept:]
