"""Hold the targets in the platform's target list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.scaling.plan import TargetKind

if TYPE_CHECKING:
    from collections.abc import Mapping


class TargetStart(msgspec.Struct, frozen=True, kw_only=True):
    """Identify one of several process starts under the same target id."""

    # Unix milliseconds by the target's clock; None if not reported.
    started_at: int | None = None
    # Heartbeats since the start.
    heartbeats: int = 0

    def is_same(self, later: TargetStart) -> bool:
        """Return whether a later report comes from the same process."""
        if self.started_at != later.started_at:
            # A process reports its start time in all heartbeats or in none.
            return False
        if self.started_at is not None:
            return True
        # Without a start time, a heartbeat count that drops shows a restart.
        return later.heartbeats >= self.heartbeats


class ListedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one process start of a target."""

    id: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    slots: int
    is_leaving: bool = False
    kind: TargetKind = TargetKind.REGULAR
    start: TargetStart = TargetStart()
    versions_by_model: dict[ModelName, WeightVersion] = {}

    def is_same_start(self, later: ListedTarget) -> bool:
        """Return whether a later entry describes the same process."""
        is_same_address = (self.service, self.address) == (
            later.service,
            later.address,
        )
        return is_same_address and self.start.is_same(later.start)


class TargetList:
    """Hold the listed targets by service."""

    def __init__(self) -> None:
        self.targets_by_id: dict[TargetId, ListedTarget] = {}
        self._change_counts_by_service: dict[ServiceName, int] = {}
        self._ready_by_service: dict[
            ServiceName, dict[TargetId, ListedTarget]
        ] = {}

    def put(self, target: ListedTarget) -> None:
        known = self.targets_by_id.get(target.id)
        if known == target:
            return
        if known is not None:
            self._record_change(known.service)
        self.targets_by_id[target.id] = target
        self._record_change(target.service)

    def remove(self, target_id: TargetId) -> None:
        known = self.targets_by_id.pop(target_id, None)
        if known is not None:
            self._record_change(known.service)

    def changes(self, service: ServiceName) -> int:
        """Return the number of changes to a service's targets."""
        return self._change_counts_by_service.get(service, 0)

    def ready(self, service: ServiceName) -> Mapping[TargetId, ListedTarget]:
        """Return the targets of a service that accept new requests."""
        # Cached until a change, since each request calls this method.
        found = self._ready_by_service.get(service)
        if found is None:
            found = self._ready_by_service[service] = {
                target.id: target
                for target in self.targets_by_id.values()
                if target.service == service and not target.is_leaving
            }
        return found

    def _record_change(self, service: ServiceName) -> None:
        self._change_counts_by_service[service] = self.changes(service) + 1
        self._ready_by_service.pop(service, None)
