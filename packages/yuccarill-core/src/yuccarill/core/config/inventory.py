"""Data classes of an inventory document."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from yuccarill.core.ids import CallerId
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId

MAX_SHARE = 1000
MAX_COUNT = 100
MAX_PATHS = 1000

# Names are parts of keys and paths and need no escaping there. Descriptions
# appear in error messages, after "write".
_NAME = msgspec.Meta(
    pattern=r'\A[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z',
    description='a name of letters, digits, ".", "_" and "-", up to 100',
)
_PATH = msgspec.Meta(
    pattern=r'\A[A-Za-z0-9._~-]{1,100}\Z',
    description='the first part of a path, with no "/"',
)
_ADDRESS = msgspec.Meta(
    max_length=60, description='an IPv4 address and port, as 127.0.0.1:9101'
)
_Share = Annotated[
    int,
    msgspec.Meta(
        ge=1, le=MAX_SHARE, description=f'a whole number, 1 to {MAX_SHARE}'
    ),
]
_Count = Annotated[
    int,
    msgspec.Meta(
        ge=0, le=MAX_COUNT, description=f'a whole number, 0 to {MAX_COUNT}'
    ),
]
_Fraction = Annotated[
    float, msgspec.Meta(ge=0, le=1, description='a number from 0 to 1')
]
_Seconds = Annotated[
    float, msgspec.Meta(ge=0, description='seconds, 0 or more')
]
_Address = Annotated[str, _ADDRESS]
_Path = Annotated[str, _PATH]
_Paths = Annotated[
    tuple[_Path, ...],
    msgspec.Meta(
        max_length=MAX_PATHS, description='a list of paths, as ["reserve"]'
    ),
]


# Defaults are omitted, so that a new field with a default does not change the
# digest of existing revisions.
class Entry(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """Base of all parts of an inventory; unknown fields are refused."""


class CallerClass(enum.Enum):
    """Whether a caller is latency-sensitive."""

    LATENCY = 'latency'
    INTERNAL = 'internal'


class Caller(Entry, frozen=True):
    """A caller and its share of the capacity under load."""

    id: Annotated[CallerId, _NAME]
    caller_class: CallerClass = CallerClass.LATENCY
    share: _Share = 1


class Model(Entry, frozen=True):
    """A model that engines load."""

    name: Annotated[ModelName, _NAME]
    # Fraction of the engines that keep serving while weights are switched.
    serving_part: _Fraction = 0.5


class Service(Entry, frozen=True):
    """A service that is not a model."""

    name: Annotated[ServiceName, _NAME]
    # Paths whose calls are not idempotent and run at most once.
    not_repeatable: _Paths = ()


class Engine(Entry, frozen=True):
    """A target that runs a model."""

    id: Annotated[TargetId, _NAME]
    model: Annotated[ModelName, _NAME]
    address: _Address
    data_centre: Annotated[DataCentreId, _NAME]
    # Whether the engine refuses orders with an outdated epoch.
    checks_fencing: bool = False


class Target(Entry, frozen=True):
    """A target that runs a service."""

    id: Annotated[TargetId, _NAME]
    service: Annotated[ServiceName, _NAME]
    address: _Address
    data_centre: Annotated[DataCentreId, _NAME]


class Scorer(Entry, frozen=True):
    """A service that scores samples."""

    id: Annotated[ScorerId, _NAME]
    address: _Address


class StalenessFirst(Entry, frozen=True, tag='staleness'):
    """Policy that prefers fresh samples to a busy trainer."""

    # Steps that may start while an earlier step is still open.
    steps_ahead: _Count = 0
    # Groups of a step that may be left out.
    spare_groups: _Count = 0
    # Final fraction of a step's samples to hedge if engines are free.
    hedge_part: _Fraction = 0.02
    # Seconds after which a generation is hedged by a second one.
    hedge_after: _Seconds = 3.0


class IdleFirst(Entry, frozen=True, tag='idle'):
    """Policy that prefers a busy trainer to fresh samples."""

    steps_ahead: _Count = 1
    spare_groups: _Count = 0
    hedge_part: _Fraction = 0.05
    hedge_after: _Seconds = 3.0


TrainerPolicy = StalenessFirst | IdleFirst


class Trainer(Entry, frozen=True):
    """A trainer, its staleness limit and its share under load."""

    id: Annotated[TrainerId, _NAME]
    model: Annotated[ModelName, _NAME]
    scorer: Annotated[ScorerId, _NAME]
    # Weight versions by which a sample may lag behind the trainer's newest.
    staleness_bound: _Count
    policy: TrainerPolicy
    share: _Share = 1


class Inventory(Entry, frozen=True):
    """All entries that operators configure."""

    callers: tuple[Caller, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    engines: tuple[Engine, ...] = ()
    targets: tuple[Target, ...] = ()
    scorers: tuple[Scorer, ...] = ()
    trainers: tuple[Trainer, ...] = ()
