"""Choose the instances that the directory names to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway import candidates

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import DataCentreId

# Instances named in the caller's own data centre. Each keeps connections of
# its own to the targets: the more are named, the fewer requests find an open
# one, and a new one costs its caller a handshake. Twelve instances of half a
# core bear some 2,000 requests a second at 2.4 ms each
# (tools/measure_gateway.py); the size that the design is for has 69 a second
# in each data centre.
NEAR = 12
# Instances named elsewhere, for the loss of the caller's data centre. A
# caller picks one in four times, which costs it a millisecond.
FAR = 4


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Say what one instance offers to callers, and where."""

    cores: float
    data_centre: DataCentreId


def named(
    places_by_address: Mapping[str, Place], caller_at: DataCentreId
) -> list[str]:
    """Return the addresses for a caller in a data centre.

    All callers there get the same ones, strong instances first, and the
    next ones in order for those that are lost.
    """
    cores = {
        address: place.cores for address, place in places_by_address.items()
    }
    ordered = candidates.ordered(cores, f'callers {caller_at}')
    near = [
        address
        for address in ordered
        if places_by_address[address].data_centre == caller_at
    ][:NEAR]
    far = [address for address in ordered if address not in near]
    wanted = NEAR + FAR - len(near)
    return near + _spread(far, places_by_address)[:wanted]


def _spread(
    addresses: Iterable[str], places_by_address: Mapping[str, Place]
) -> list[str]:
    """Return addresses in an order that takes data centres in turns."""
    taken_by_centre: dict[DataCentreId, int] = {}
    turns = {}
    for address in addresses:
        centre = places_by_address[address].data_centre
        turns[address] = taken_by_centre.get(centre, 0)
        taken_by_centre[centre] = turns[address] + 1
    return sorted(turns, key=turns.__getitem__)
