"""Hold what targets say of themselves in the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Mapping


class ListedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one start of a target."""

    id: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    slots: int
    is_leaving: bool = False
    versions_by_model: dict[ModelName, WeightVersion] = {}


class TargetList:
    """Hold the listed targets by service."""

    def __init__(self) -> None:
        self.targets_by_id: dict[TargetId, ListedTarget] = {}

    def put(self, target: ListedTarget) -> None:
        self.targets_by_id[target.id] = target

    def remove(self, target_id: TargetId) -> None:
        self.targets_by_id.pop(target_id, None)

    def ready(self, service: ServiceName) -> Mapping[TargetId, ListedTarget]:
        """Return the targets of a service that take new work."""
        return {
            target.id: target
            for target in self.targets_by_id.values()
            if target.service == service and not target.is_leaving
        }
