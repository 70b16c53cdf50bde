"""Keep a pool of targets for each service, as the list has them."""

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

# Seconds for which a target is not chosen at whose address nobody, or another
# process, was found. Until the list shows it, 96 texts that waited for their
# scores asked three such targets a thousand times a second.
GONE_SECONDS = 0.5


class Pools:
    """Keep one pool of targets a service, as the list has them."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._pools_by_service: dict[ServiceName, pool_module.Pool] = {}
        # The targets as each pool took them last.
        self._taken_by_service: dict[
            ServiceName, Mapping[TargetId, ListedTarget]
        ] = {}
        # What each pool was last brought up to.
        self._seen_by_service: dict[ServiceName, tuple[int, DataCentreId]] = {}
        # Until when targets are taken for gone.
        self._gone_until: dict[TargetId, Instant] = {}

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
        seen = (targets.changes(service), here)
        if self._seen_by_service.get(service) != seen:
            # At each request, it took 90 ms with 1,300 targets.
            self._seen_by_service[service] = seen
            ready = targets.ready(service)
            taken = self._taken_by_service.get(service, {})
            self._taken_by_service[service] = ready
            for target_id in _started_again(taken, ready):
                pool.remove(target_id)
                self._gone_until.pop(target_id, None)
            centres_by_id = {t.id: t.data_centre for t in ready.values()}
            pool.update(centres_by_id, here, now)
        return pool

    def note_gone(self, target: ListedTarget, now: Instant) -> None:
        """Do not choose a target for a while that was not at its address."""
        self._gone_until[target.id] = Instant(now + GONE_SECONDS)

    def gone(self, now: Instant) -> frozenset[TargetId]:
        """Return the targets that are taken for gone."""
        if self._gone_until:
            self._gone_until = {
                target_id: until
                for target_id, until in self._gone_until.items()
                if now < until
            }
        return frozenset(self._gone_until)

    def is_current(self, target: ListedTarget) -> bool:
        """Tell whether a target is still the process that is listed."""
        listed = self.target(target.id)
        return listed is None or target.is_same_start(listed)

    def targets(self, service: ServiceName) -> Iterable[ListedTarget]:
        """Return the targets of a service that are ready."""
        return self._state.targets.ready(service).values()

    def target(self, target_id: TargetId) -> ListedTarget | None:
        return self._state.targets.targets_by_id.get(target_id)


def _started_again(
    taken_by_id: Mapping[TargetId, ListedTarget],
    ready_by_id: Mapping[TargetId, ListedTarget],
) -> list[TargetId]:
    # A process that started again under its id would be left out, or chosen,
    # for what the one before it did.
    return [
        target_id
        for target_id in taken_by_id.keys() & ready_by_id.keys()
        if not taken_by_id[target_id].is_same_start(ready_by_id[target_id])
    ]
