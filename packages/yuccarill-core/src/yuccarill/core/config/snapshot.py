"""Immutable view of one configuration, indexed for lookups."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

from yuccarill.core.config import deltas
from yuccarill.core.config.head import Change
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccarill.core.config import inventory as inventory_module
    from yuccarill.core.ids import CallerId
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ScorerId
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import TrainerId


def from_inventory(
    inventory: inventory_module.Inventory,
    revision: Revision = Revision(1),
) -> Snapshot:
    """Return a snapshot of an inventory without author or change id."""
    return Snapshot(
        Change(
            revision=revision,
            change_id=ChangeId(''),
            author='',
            applied_at=WallTime(0.0),
            digest=deltas.digest(inventory),
        ),
        inventory,
    )


class Snapshot:
    """Immutable view of one revision."""

    def __init__(
        self, change: Change, inventory: inventory_module.Inventory
    ) -> None:
        # The change that made this revision, without its delta.
        self.change = change
        self.inventory = inventory

    @property
    def revision(self) -> Revision:
        return self.change.revision

    @property
    def change_id(self) -> ChangeId:
        return self.change.change_id

    @property
    def author(self) -> str:
        return self.change.author

    @property
    def applied_at(self) -> WallTime:
        return self.change.applied_at

    @property
    def digest(self) -> str:
        return self.change.digest

    def as_dict(self) -> dict[str, object]:
        """Return the values that operators see."""
        return {
            'revision': self.revision,
            'change_id': self.change_id,
            'author': self.author,
            'applied_at': self.applied_at,
            'digest': self.digest,
            'inventory': self.inventory,
        }

    @functools.cached_property
    def callers_by_id(self) -> Mapping[CallerId, inventory_module.Caller]:
        return {caller.id: caller for caller in self.inventory.callers}

    @functools.cached_property
    def models_by_name(self) -> Mapping[ModelName, inventory_module.Model]:
        return {model.name: model for model in self.inventory.models}

    @functools.cached_property
    def services_by_name(
        self,
    ) -> Mapping[ServiceName, inventory_module.Service]:
        return {service.name: service for service in self.inventory.services}

    @functools.cached_property
    def scorers_by_id(self) -> Mapping[ScorerId, inventory_module.Scorer]:
        return {scorer.id: scorer for scorer in self.inventory.scorers}

    @functools.cached_property
    def trainers_by_id(self) -> Mapping[TrainerId, inventory_module.Trainer]:
        return {trainer.id: trainer for trainer in self.inventory.trainers}

    @functools.cached_property
    def engines_by_id(self) -> Mapping[TargetId, inventory_module.Engine]:
        return {engine.id: engine for engine in self.inventory.engines}

    @functools.cached_property
    def targets_by_id(
        self,
    ) -> Mapping[TargetId, inventory_module.Engine | inventory_module.Target]:
        """Return both engines and targets of services."""
        others = {target.id: target for target in self.inventory.targets}
        return {**self.engines_by_id, **others}

    @functools.cached_property
    def engines_by_model(
        self,
    ) -> Mapping[ModelName, Sequence[inventory_module.Engine]]:
        engines = collections.defaultdict(list)
        for engine in self.inventory.engines:
            engines[engine.model].append(engine)
        return dict(engines)

    @functools.cached_property
    def targets_by_service(
        self,
    ) -> Mapping[ServiceName, Sequence[inventory_module.Target]]:
        targets = collections.defaultdict(list)
        for target in self.inventory.targets:
            targets[target.service].append(target)
        return dict(targets)
