"""What exists: the data classes of an inventory document."""

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
MAX_STEPS = 100
MAX_PATHS = 1000

# Names become parts of keys and paths, so they hold nothing that would
# need escaping there. The descriptions tell operators what to write.
_NAME = msgspec.Meta(
    pattern=r'\A[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z',
    description='a name of letters, digits, ".", "_" and "-", up to 100',
)
_PATH = msgspec.Meta(
    pattern=r'\A[A-Za-z0-9._~-]{1,100}\Z',
    description='the first part of a path, with no "/"',
)
_ADDRESS = msgspec.Meta(
    max_length=60, description='an IPv4 number and a port, as 127.0.0.1:9101'
)
_Share = Annotated[
    int,
    msgspec.Meta(
        ge=1, le=MAX_SHARE, description=f'a whole number, 1 to {MAX_SHARE}'
    ),
]
_Steps = Annotated[
    int,
    msgspec.Meta(
        ge=0, le=MAX_STEPS, description=f'a whole number, 0 to {MAX_STEPS}'
    ),
]
_Part = Annotated[
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


# Defaults are left out, so that a field added with a default changes neither
# the digest of a standing revision nor the size of its document.
class Entry(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """Be one checked part of an inventory."""


class CallerClass(enum.Enum):
    """Say whether a caller waits for its answers."""

    LATENCY = 'latency'
    INTERNAL = 'internal'


class Caller(Entry, frozen=True):
    """Describe one caller and its share under load."""

    id: Annotated[CallerId, _NAME]
    caller_class: CallerClass = CallerClass.LATENCY
    share: _Share = 1


class Model(Entry, frozen=True):
    """Describe one model that engines load."""

    name: Annotated[ModelName, _NAME]
    # The part of its engines that serve while weights are switched.
    serving_part: _Part = 0.5


class Service(Entry, frozen=True):
    """Describe one plain service."""

    name: Annotated[ServiceName, _NAME]
    # Paths whose calls run at most once.
    not_repeatable: _Paths = ()


class Engine(Entry, frozen=True):
    """Describe one target that runs a model."""

    id: Annotated[TargetId, _NAME]
    model: Annotated[ModelName, _NAME]
    address: _Address
    data_centre: Annotated[DataCentreId, _NAME]
    checks_fencing: bool = False


class Target(Entry, frozen=True):
    """Describe one target that runs a plain service."""

    id: Annotated[TargetId, _NAME]
    service: Annotated[ServiceName, _NAME]
    address: _Address
    data_centre: Annotated[DataCentreId, _NAME]


class Scorer(Entry, frozen=True):
    """Describe one scoring service."""

    id: Annotated[ScorerId, _NAME]
    address: _Address


class StalenessFirst(Entry, frozen=True, tag='staleness'):
    """Prefer fresh samples over a busy trainer."""

    steps_ahead: _Steps = 0
    spare_groups: _Steps = 0
    # The last part of a step that is generated twice where engines are free.
    hedge_part: _Part = 0.02
    # Seconds after which a generation is worth a second one.
    hedge_after: _Seconds = 3.0


class IdleFirst(Entry, frozen=True, tag='idle'):
    """Prefer a busy trainer over fresh samples."""

    steps_ahead: _Steps = 1
    spare_groups: _Steps = 0
    hedge_part: _Part = 0.05
    hedge_after: _Seconds = 3.0


TrainerPolicy = StalenessFirst | IdleFirst


class Trainer(Entry, frozen=True):
    """Describe one trainer and what it weighs."""

    id: Annotated[TrainerId, _NAME]
    model: Annotated[ModelName, _NAME]
    scorer: Annotated[ScorerId, _NAME]
    # Weight versions that a sample may lie behind the trainer's newest.
    staleness_bound: _Steps
    policy: TrainerPolicy
    share: _Share = 1


class Inventory(Entry, frozen=True):
    """Hold everything that operators describe."""

    callers: tuple[Caller, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    engines: tuple[Engine, ...] = ()
    targets: tuple[Target, ...] = ()
    scorers: tuple[Scorer, ...] = ()
    trainers: tuple[Trainer, ...] = ()
