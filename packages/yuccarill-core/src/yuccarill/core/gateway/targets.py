"""Hold what targets say of themselves in the platform's list."""

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
    """Tell one start of a target from another under the same id."""

    # Unix milliseconds, by the target's clock; none where it does not tell.
    started_at: int | None = None
    # Heartbeats since the start.
    heartbeats: int = 0

    def is_same(self, later: TargetStart) -> bool:
        """Tell whether something said later comes from the same process."""
        if self.started_at != later.started_at:
            # One that tells is not one that did not: a process tells always
            # or never.
            return False
        if self.started_at is not None:
            return True
        # One that does not tell counts its heartbeats from its start on.
        return later.heartbeats >= self.heartbeats


class ListedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one start of a target."""

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
        """Tell whether a later entry is of the same process."""
        is_there = (self.service, self.address) == (
            later.service,
            later.address,
        )
        return is_there and self.start.is_same(later.start)


class TargetList:
    """Hold the listed targets by service."""

    def __init__(self) -> None:
        self.targets_by_id: dict[TargetId, ListedTarget] = {}
        # Counts the changes of each service's targets.
        self._changes_by_service: dict[ServiceName, int] = {}
        self._ready_by_service: dict[
            ServiceName, dict[TargetId, ListedTarget]
        ] = {}

    def put(self, target: ListedTarget) -> None:
        known = self.targets_by_id.get(target.id)
        if known == target:
            return
        if known is not None:
            self._changed(known.service)
        self.targets_by_id[target.id] = target
        self._changed(target.service)

    def remove(self, target_id: TargetId) -> None:
        known = self.targets_by_id.pop(target_id, None)
        if known is not None:
            self._changed(known.service)

    def changes(self, service: ServiceName) -> int:
        """Return a number that differs after each change of a service."""
        return self._changes_by_service.get(service, 0)

    def ready(self, service: ServiceName) -> Mapping[TargetId, ListedTarget]:
        """Return the targets of a service that take new work."""
        # Kept until a change: it is asked for at each request, and looking
        # through 1,300 targets takes 0.4 ms (300 times in a loop).
        found = self._ready_by_service.get(service)
        if found is None:
            found = self._ready_by_service[service] = {
                target.id: target
                for target in self.targets_by_id.values()
                if target.service == service and not target.is_leaving
            }
        return found

    def _changed(self, service: ServiceName) -> None:
        self._changes_by_service[service] = self.changes(service) + 1
        self._ready_by_service.pop(service, None)
