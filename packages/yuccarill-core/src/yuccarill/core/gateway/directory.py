"""Choose the instance addresses that a caller receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway import candidates

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import DataCentreId

# Bounded, since each instance has its own connection pool to the targets and
# more instances mean more handshakes. Twelve instances of half a core serve
# some 2,000 requests a second at 2.4 ms each; the design size has 69 a second
# per data centre.
MAX_LOCAL_INSTANCES = 12
# Further instances, spread over all data centres; used if the caller's fails.
REMOTE_INSTANCES = 4


class InstanceLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the capacity and location of one instance."""

    cores: float
    data_centre: DataCentreId


def addresses_for_caller(
    places_by_address: Mapping[str, InstanceLocation],
    caller_centre: DataCentreId,
) -> list[str]:
    """Return the addresses for a caller in a data centre.

    All callers in one data centre get the same addresses, instances with
    more cores first; the next instance in order replaces a lost one.
    """
    cores = {
        address: place.cores for address, place in places_by_address.items()
    }
    ordered = candidates.ordered(cores, f'callers {caller_centre}')
    local = [
        address
        for address in ordered
        if places_by_address[address].data_centre == caller_centre
    ][:MAX_LOCAL_INSTANCES]
    remote = [address for address in ordered if address not in local]
    count = MAX_LOCAL_INSTANCES + REMOTE_INSTANCES - len(local)
    return local + _interleave_centres(remote, places_by_address)[:count]


def _interleave_centres(
    addresses: Iterable[str], places_by_address: Mapping[str, InstanceLocation]
) -> list[str]:
    """Return addresses in round-robin order of their data centres."""
    counts_by_centre: dict[DataCentreId, int] = {}
    turns_by_address = {}
    for address in addresses:
        centre = places_by_address[address].data_centre
        turns_by_address[address] = counts_by_centre.get(centre, 0)
        counts_by_centre[centre] = turns_by_address[address] + 1
    return sorted(turns_by_address, key=turns_by_address.__getitem__)
