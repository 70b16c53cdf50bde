"""Partition the engines and jobs of a large service among lease holders."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
import zlib

import msgspec

from yuccarill.core.ids import ServiceName

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId

MIN_PARTITIONED_ENGINES = 600
MAX_ENGINES_PER_PART = 300
# Bounded, since one transaction writes a job with the shares of all parts.
MAX_PARTS = 15
# Listed engines from which on a starting service may become partitioned.
_MANY_ENGINES = 100
# Seconds without a newly listed engine before the number of parts is decided.
# With many engines, covers two refreshes of a peer's copy of the target list;
# a premature decision gives all engines of a new fleet to one holder. After 1
# s, one holder got all 1,710 engines of a new fleet and served 0.32 of the
# demand.
_FEW_SETTLE_SECONDS = 1.0
_MANY_SETTLE_SECONDS = 3.2
# Precedes the part number; not valid in configured service names.
_SEPARATOR = ':'


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """Describe into how many parts a service is divided, and how."""

    parts: int = 1
    # True: each job is split among all parts. False: each model has one part.
    is_by_items: bool = False


UNDIVIDED = Division()


def division_for(engines: int) -> Division:
    """Return the division of a service with a number of engines."""
    if engines < MIN_PARTITIONED_ENGINES:
        return UNDIVIDED
    parts = min(MAX_PARTS, math.ceil(engines / MAX_ENGINES_PER_PART))
    return Division(parts=parts, is_by_items=True)


def encode(division: Division) -> bytes:
    """Encode a division; a division by models as its number of parts."""
    if not division.is_by_items:
        return msgspec.msgpack.encode(division.parts)
    return msgspec.msgpack.encode(division)


def decode(value: bytes) -> Division:
    """Decode a division or a plain number of parts; raise MsgspecError."""
    found = msgspec.msgpack.decode(value, type=int | Division)
    if isinstance(found, int):
        return Division(parts=found)
    return found


def settle_seconds(engines: int) -> float:
    """Return the seconds for which the engine list must be stable."""
    if engines < _MANY_ENGINES:
        return _FEW_SETTLE_SECONDS
    return _MANY_SETTLE_SECONDS


def part_name(service: ServiceName, number: int, count: int) -> ServiceName:
    """Return the name of a part; the service name if it is the only one."""
    if count == 1:
        return service
    return ServiceName(f'{service}{_SEPARATOR}{number}')


def part_names(service: ServiceName, count: int) -> list[ServiceName]:
    """Return the names of all parts of a service."""
    return [part_name(service, number, count) for number in range(count)]


def service_of_part(part: ServiceName) -> ServiceName:
    """Return the service that a part belongs to."""
    return ServiceName(part.partition(_SEPARATOR)[0])


def has_engine(part: ServiceName, count: int, engine: TargetId) -> bool:
    """Return whether an engine belongs to a part.

    Depends only on the engine id, so that two holders with different target
    lists never send orders to the same engine.
    """
    number = part_number(engine, count)
    return part_name(service_of_part(part), number, count) == part


def part_number(key: str, count: int) -> int:
    """Return the number of the part that a key belongs to."""
    return zlib.crc32(key.encode()) % count


def part_of_model(
    service: ServiceName,
    model: ModelName | None,
    models: Sequence[ModelName],
    count: int,
) -> ServiceName:
    """Return the part that runs a model's jobs and tracks its versions."""
    if count == 1 or model is None:
        return part_name(service, 0, count)
    ordered = sorted(models)
    is_known = model in ordered
    number = ordered.index(model) if is_known else zlib.crc32(model.encode())
    return part_name(service, number % count, count)
