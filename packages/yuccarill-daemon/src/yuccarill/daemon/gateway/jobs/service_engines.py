"""Hold the engines of the services that run the items of a queue."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.gateway import partitions
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue
from yuccarill.core.jobs.placement import Placement
from yuccarill.core.speeds import pace_estimator
from yuccarill.daemon.gateway.jobs import run_moves

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.state import GatewayState


@dataclasses.dataclass
class ServiceEngines:
    """Hold the engines of one service and the runs at them."""

    service: ServiceName
    fleet: engines_module.EngineFleet
    run_mover: run_moves.RunMoves


class OtherServices:
    """Hold the engines of services to which routes of open jobs were moved.

    Jobs stay with the holder of the service that accepted them, so that one
    instance lists their results. Only the holder of the other service orders
    its engines; items are sent to them without orders.
    """

    def __init__(
        self,
        part: ServiceName,
        state: GatewayState,
        queue: job_queue.JobQueue,
        clock: Any,
    ) -> None:
        self._part = part
        self._state = state
        self._queue = queue
        self._clock = clock
        self._engines_by_service: dict[ServiceName, ServiceEngines] = {}

    def get(self, service: ServiceName) -> ServiceEngines:
        """Return the engines of a service."""
        found = self._engines_by_service.get(service)
        if found is None:
            fleet = engines_module.EngineFleet(
                create_pace_estimator(self._state.placement)
            )
            fleet.update(self._targets(service))
            mover = run_moves.RunMoves(self._queue, fleet, None, self._clock)
            found = ServiceEngines(service, fleet, mover)
            self._engines_by_service[service] = found
        return found

    def keep(self, services: Collection[ServiceName]) -> None:
        """Drop the services that neither run items nor may do so."""
        for name, found in list(self._engines_by_service.items()):
            if name not in services and not found.run_mover.has_runs:
                del self._engines_by_service[name]

    def move_runs(self) -> None:
        """Update the engines and move the runs that are better off."""
        for name, found in self._engines_by_service.items():
            found.fleet.update(self._targets(name))
            found.run_mover.move_runs()

    def has_free_slots(self, now: Instant) -> bool:
        """Return whether any usable engine has a free slot."""
        return any(
            found.fleet.has_free_slots(now)
            for found in self._engines_by_service.values()
        )

    def _targets(self, service: ServiceName) -> Iterable[ListedTarget]:
        ready = self._state.targets.ready(service).values()
        own_service = partitions.service_of_part(self._part)
        count = self._state.division(own_service).parts
        # The holders of the own service's parts use different engines.
        return [
            target
            for target in ready
            if count == 1
            or partitions.has_engine(self._part, count, target.id)
        ]


def create_pace_estimator(
    placement: Placement,
) -> pace_estimator.PaceEstimator | None:
    """Return an estimator of engine paces if the placement uses one."""
    return (
        pace_estimator.PaceEstimator()
        if placement is Placement.FINISH
        else None
    )
