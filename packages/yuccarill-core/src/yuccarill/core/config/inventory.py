"""What exists: the data classes of an inventory document."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import CallerId
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId


class Entry(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Be one checked part of an inventory."""


class CallerClass(enum.Enum):
    """Say whether a caller waits for its answers."""

    LATENCY = 'latency'
    INTERNAL = 'internal'


class Caller(Entry, frozen=True):
    """Describe one caller and its share under load."""

    id: CallerId
    caller_class: CallerClass = CallerClass.LATENCY
    share: int = 1


class Model(Entry, frozen=True):
    """Describe one model that engines load."""

    name: ModelName
    # The part of its engines that serve while weights are switched.
    serving_part: float = 0.5


class Service(Entry, frozen=True):
    """Describe one plain service."""

    name: ServiceName
    # Paths whose calls run at most once.
    not_repeatable: tuple[str, ...] = ()


class Engine(Entry, frozen=True):
    """Describe one target that runs a model."""

    id: TargetId
    model: ModelName
    address: str
    data_centre: DataCentreId
    checks_fencing: bool = False


class Target(Entry, frozen=True):
    """Describe one target that runs a plain service."""

    id: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentreId


class Scorer(Entry, frozen=True):
    """Describe one scoring service."""

    id: ScorerId
    address: str


class StalenessFirst(Entry, frozen=True, tag='staleness'):
    """Prefer fresh samples over a busy trainer."""

    steps_ahead: int = 0


class IdleFirst(Entry, frozen=True, tag='idle'):
    """Prefer a busy trainer over fresh samples."""

    steps_ahead: int = 1
    spare_groups: int = 0


TrainerPolicy = StalenessFirst | IdleFirst


class Trainer(Entry, frozen=True):
    """Describe one trainer and what it weighs."""

    id: TrainerId
    model: ModelName
    scorer: ScorerId
    # Weight versions that a sample may lie behind the trainer's newest.
    staleness_bound: int
    policy: TrainerPolicy
    share: int = 1


class Inventory(Entry, frozen=True):
    """Hold everything that operators describe."""

    callers: tuple[Caller, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    engines: tuple[Engine, ...] = ()
    targets: tuple[Target, ...] = ()
    scorers: tuple[Scorer, ...] = ()
    trainers: tuple[Trainer, ...] = ()
