"""Hold the state of one process; each section has a single writer."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING
import uuid

import msgspec

from yuccarill.core.gateway import candidates
from yuccarill.core.gateway import partitions
from yuccarill.core.gateway.targets import TargetList
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WallTime
from yuccarill.core.jobs.placement import Placement

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccarill.core.gateway.leadership import LastHolder
    from yuccarill.core.gateway.partitions import Division
    from yuccarill.core.gateway.routes import RouteTable
    from yuccarill.core.gateway.stop_window import StopWindow
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ServiceName
    from yuccarill.platform.settings_file import InstanceSettings


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an instance to its peers."""

    instance: str
    data_centre: str
    client_address: str
    # Serves peers, including their relayed store calls.
    peer_address: str
    # Processor cores available to the instance.
    cores: float = 1.0
    # Set at the start of a graceful shutdown.
    is_leaving: bool = False


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Name the instance that holds a duty."""

    instance: str
    # Store revision of the claim; the epoch (fencing token) of orders.
    revision: int = 0


class QuarantineRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a quarantined request, which no instance forwards."""

    # Host and path of the request.
    request: str
    # The targets that crashed while running the request.
    targets: tuple[TargetId, ...]
    # The instance that quarantined the request.
    instance: str
    until: WallTime


@dataclasses.dataclass
class GatewayState:
    """Hold the state shared by the controllers of one process."""

    settings: InstanceSettings
    # Source of all randomness, which tests seed.
    generator: random.Random = dataclasses.field(default_factory=random.Random)
    # Distinguishes this process from its restarts.
    incarnation: Incarnation = dataclasses.field(
        default_factory=lambda: Incarnation(uuid.uuid4().hex)
    )
    # Assigns items of batch jobs to engines.
    placement: Placement = Placement.LOAD
    # From here to `quarantined_by_content`: written by the observer.
    route_table: RouteTable | None = None
    targets: TargetList = dataclasses.field(default_factory=TargetList)
    instances_by_id: dict[InstanceId, InstanceRecord] = dataclasses.field(
        default_factory=dict
    )
    # Includes the last records of instances that are no longer listed.
    recent_instances_by_id: dict[InstanceId, InstanceRecord] = (
        dataclasses.field(default_factory=dict)
    )
    # Division of each service into parts; no entry while undecided.
    divisions_by_service: dict[ServiceName, Division] = dataclasses.field(
        default_factory=dict
    )
    duties_by_service: dict[ServiceName, DutyRecord] = dataclasses.field(
        default_factory=dict
    )
    last_holders_by_service: dict[ServiceName, LastHolder] = dataclasses.field(
        default_factory=dict
    )
    quarantined_by_content: dict[ContentDigest, QuarantineRecord] = (
        dataclasses.field(default_factory=dict)
    )
    # Cache of the engines of each part.
    _engines_by_part: dict[
        ServiceName,
        tuple[Mapping[TargetId, ListedTarget] | None, list[ListedTarget]],
    ] = dataclasses.field(default_factory=dict)
    # Whether every section above has been read once.
    is_current: bool = False
    # Written by the process at shutdown; None before it.
    is_leaving: bool = False
    stop_window: StopWindow | None = None

    def engines(self, part: ServiceName) -> list[ListedTarget]:
        """Return the ready engines of a service's part."""
        service = partitions.service_of_part(part)
        ready = self.targets.ready(service)
        count = self.division(service).parts
        if count == 1:
            return list(ready.values())
        # Called often; recomputed only after a change of the targets.
        known, found = self._engines_by_part.get(part, (None, []))
        if known is not ready:
            found = [
                engine
                for engine in ready.values()
                if partitions.has_engine(part, count, engine.id)
            ]
            self._engines_by_part[part] = ready, found
        return list(found)

    def division(self, service: ServiceName) -> Division:
        """Return the division of a service, undivided while unknown."""
        return self.divisions_by_service.get(service, partitions.UNDIVIDED)

    def candidates(
        self, part: ServiceName, cores_by_name: dict[str, float] | None = None
    ) -> list[str]:
        """Return the instances in order of precedence for a part."""
        service = partitions.service_of_part(part)
        names = partitions.part_names(service, self.division(service).parts)
        if cores_by_name is None:
            cores_by_name = self.cores_by_name()
        return candidates.ordered_for_part(cores_by_name, names, part)

    def loads_model(self, part: ServiceName, model: ModelName) -> bool:
        """Return whether a part's engines load a model's versions."""
        service = partitions.service_of_part(part)
        if self.division(service).is_by_items:
            return True
        return self.part_of(service, model) == part

    def part_of(
        self, service: ServiceName, model: ModelName | None
    ) -> ServiceName:
        """Return the part of a service that runs a model's jobs.

        Returns the service itself if each part runs a share of each job.
        """
        if self.division(service).is_by_items:
            return service
        count = self.division(service).parts
        table = self.route_table
        known = None if table is None else table.services_by_name.get(service)
        engine = None if known is None else known.engine
        models = () if engine is None else engine.models
        return partitions.part_of_model(service, model, models, count)

    def recent_instances(self) -> list[InstanceRecord]:
        """Return the serving instances, including recently delisted ones.

        After a store outage that outlasts the leases, no instance is listed
        until each has registered again.
        """
        known = {**self.recent_instances_by_id, **self.instances_by_id}
        return [each for each in known.values() if not each.is_leaving]

    def serving_instances(self) -> list[InstanceRecord]:
        """Return the listed instances that are not shutting down."""
        return [
            record
            for record in self.instances_by_id.values()
            if not record.is_leaving
        ]

    def data_centres_by_name(self) -> dict[str, DataCentreId]:
        """Return the data centres of the serving instances and this one."""
        centres = {
            record.instance: DataCentreId(record.data_centre)
            for record in self.serving_instances()
        }
        centres[self.settings.instance] = self.settings.data_centre
        return centres

    def cores_by_name(self) -> dict[str, float]:
        """Return the cores of the serving instances and this one."""
        cores = {
            record.instance: record.cores
            for record in self.serving_instances()
        }
        cores[self.settings.instance] = self.settings.cores
        return cores
