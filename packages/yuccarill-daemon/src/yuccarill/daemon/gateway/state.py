"""Hold what one process knows, in sections that one controller writes."""

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
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ServiceName
    from yuccarill.platform.settings_file import InstanceSettings


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an instance to the others."""

    instance: str
    data_centre: str
    client_address: str
    # Where the others' calls to the store are passed on.
    peer_address: str
    # Processor cores that it may use.
    cores: float = 1.0
    # Set at the start of a graceful shutdown.
    is_leaving: bool = False


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Name the instance that holds a duty."""

    instance: str
    # The change that gave it the duty; the epoch of its orders.
    revision: int = 0


class QuarantineRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a request that no instance sends on any more."""

    # Host and path.
    request: str
    # The targets that ended under it.
    targets: tuple[TargetId, ...]
    # Who found it to be their cause.
    instance: str
    until: WallTime


@dataclasses.dataclass
class GatewayState:
    """Hold what controllers read and write."""

    settings: InstanceSettings
    # What every draw of this process comes from, so that a test can seed it.
    generator: random.Random = dataclasses.field(default_factory=random.Random)
    # Tells this process from others of the same instance.
    incarnation: Incarnation = dataclasses.field(
        default_factory=lambda: Incarnation(uuid.uuid4().hex)
    )
    # How items of batch jobs find their engines.
    placement: Placement = Placement.LOAD
    # Written by the observer.
    table: RouteTable | None = None
    targets: TargetList = dataclasses.field(default_factory=TargetList)
    instances_by_id: dict[InstanceId, InstanceRecord] = dataclasses.field(
        default_factory=dict
    )
    # Those whose entry is gone as well, as they were last listed.
    known_instances_by_id: dict[InstanceId, InstanceRecord] = (
        dataclasses.field(default_factory=dict)
    )
    # How each service is divided among holders, once that is decided.
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
    # Kept of what is worked out from the above.
    _engines_by_part: dict[
        ServiceName,
        tuple[Mapping[TargetId, ListedTarget] | None, list[ListedTarget]],
    ] = dataclasses.field(default_factory=dict)
    # Every section above has been read once.
    is_current: bool = False
    # Written by the process.
    is_leaving: bool = False

    def engines(self, part: ServiceName) -> list[ListedTarget]:
        """Return the ready engines of a service's part."""
        service = partitions.service_of_part(part)
        ready = self.targets.ready(service)
        count = self.division(service).parts
        if count == 1:
            return list(ready.values())
        # Asked for some times a second, and the same until a change.
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
        """Return how a service is divided, as one while that is not known."""
        return self.divisions_by_service.get(service, partitions.UNDIVIDED)

    def candidates(
        self, part: ServiceName, cores_by_name: dict[str, float] | None = None
    ) -> list[str]:
        """Return the instances in the order in which they take a part."""
        service = partitions.service_of_part(part)
        names = partitions.part_names(service, self.division(service).parts)
        if cores_by_name is None:
            cores_by_name = self.cores_by_name()
        return candidates.ordered_for_part(cores_by_name, names, part)

    def follows(self, part: ServiceName, model: ModelName) -> bool:
        """Tell whether a part's engines follow a model's versions."""
        service = partitions.service_of_part(part)
        if self.division(service).is_by_items:
            return True
        return self.part_of(service, model) == part

    def part_of(
        self, service: ServiceName, model: ModelName | None
    ) -> ServiceName:
        """Return the part of a service that runs a model's jobs.

        The service itself where each part runs a share of each job.
        """
        if self.division(service).is_by_items:
            return service
        count = self.division(service).parts
        table = self.table
        known = None if table is None else table.services_by_name.get(service)
        engine = None if known is None else known.engine
        models = () if engine is None else engine.models
        return partitions.part_of_model(service, model, models, count)

    def remembered_instances(self) -> list[InstanceRecord]:
        """Return the instances that serve, or were listed until lately.

        Entries go with their leases: where the store let these run out while
        it was away, nobody is listed for a moment after its return.
        """
        known = {**self.known_instances_by_id, **self.instances_by_id}
        return [each for each in known.values() if not each.is_leaving]

    def serving_instances(self) -> list[InstanceRecord]:
        """Return the listed instances that are not leaving."""
        return [
            record
            for record in self.instances_by_id.values()
            if not record.is_leaving
        ]

    def centres_by_name(self) -> dict[str, DataCentreId]:
        """Return where instances are that serve, this one included."""
        centres = {
            record.instance: DataCentreId(record.data_centre)
            for record in self.serving_instances()
        }
        centres[self.settings.instance] = self.settings.data_centre
        return centres

    def cores_by_name(self) -> dict[str, float]:
        """Return the cores of instances that serve, this one included."""
        cores = {
            record.instance: record.cores
            for record in self.serving_instances()
        }
        cores[self.settings.instance] = self.settings.cores
        return cores
