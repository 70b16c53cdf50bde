"""Maintain a pool of ready targets for each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.calls import pool as pool_module
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.state import GatewayState

# Exclusion of a target whose address refuses connections or runs another
# process; keeps retries from flooding it until the target list changes.
# Without it, 96 texts that waited for scores sent three such targets a
# thousand requests a second.
EXCLUSION_SECONDS = 0.5


class Pools:
    """Update the pools from the target list."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._pools_by_service: dict[ServiceName, pool_module.Pool] = {}
        # The targets at the last update of each pool.
        self._previous_by_service: dict[
            ServiceName, Mapping[TargetId, ListedTarget]
        ] = {}
        # The change count and data centre at the last update of each pool.
        self._seen_by_service: dict[ServiceName, tuple[int, DataCentreId]] = {}
        self._excluded_until: dict[TargetId, Instant] = {}

    def pool(self, service: ServiceName, now: Instant) -> pool_module.Pool:
        """Return a service's pool with its ready targets."""
        pool = self._pools_by_service.get(service)
        if pool is None:
            pool = pool_module.Pool(
                pool_module.RoutingPolicy(), self._state.generator
            )
            self._pools_by_service[service] = pool
        targets = self._state.targets
        here = self._state.settings.data_centre
        current = (targets.changes(service), here)
        if self._seen_by_service.get(service) != current:
            # Updates on changes only: each is expensive with many targets.
            self._seen_by_service[service] = current
            ready = targets.ready(service)
            previous = self._previous_by_service.get(service, {})
            self._previous_by_service[service] = ready
            for target_id in _restarted(previous, ready):
                pool.remove(target_id)
                self._excluded_until.pop(target_id, None)
            centres_by_id = {t.id: t.data_centre for t in ready.values()}
            pool.update(centres_by_id, here, now)
        return pool

    def exclude(self, target: ListedTarget, now: Instant) -> None:
        """Exclude a target that was absent from its address."""
        self._excluded_until[target.id] = Instant(now + EXCLUSION_SECONDS)

    def excluded_ids(self, now: Instant) -> frozenset[TargetId]:
        """Return the targets excluded at present."""
        if self._excluded_until:
            self._excluded_until = {
                target_id: until
                for target_id, until in self._excluded_until.items()
                if now < until
            }
        return frozenset(self._excluded_until)

    def is_current(self, target: ListedTarget) -> bool:
        """Return whether no other process is listed under the target's id."""
        listed = self.target(target.id)
        return listed is None or target.is_same_start(listed)

    def targets(self, service: ServiceName) -> Iterable[ListedTarget]:
        """Return the ready targets of a service."""
        return self._state.targets.ready(service).values()

    def target(self, target_id: TargetId) -> ListedTarget | None:
        return self._state.targets.targets_by_id.get(target_id)


def _restarted(
    previous_by_id: Mapping[TargetId, ListedTarget],
    ready_by_id: Mapping[TargetId, ListedTarget],
) -> list[TargetId]:
    # A restarted target must not inherit the statistics of its predecessor.
    return [
        target_id
        for target_id in previous_by_id.keys() & ready_by_id.keys()
        if not previous_by_id[target_id].is_same_start(ready_by_id[target_id])
    ]
