"""Divide the engines and jobs of a large service among several holders."""

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

# Engines of a service from which on it has several holders.
LARGE_ENGINES = 600
# Engines that one of several holders has at most.
PART_ENGINES = 300
# Parts of a service at most: one transaction writes a job with all its shares.
MAX_PARTS = 15
# Engines from which on a service may turn out to be as large as that.
_MANY_ENGINES = 100
# Seconds in which no engine more has to be listed before it is decided. Few
# that start together are listed within a second. Of many most instances hear
# from a peer's copy, which they look at each 1.5 s; by one second, one holder
# got all 1,710 engines of a fleet that was just installed, and served 0.32 of
# what came.
_FEW_SETTLE_SECONDS = 1.0
_MANY_SETTLE_SECONDS = 3.2
# Between a service's name and the number of a part; the names that operators
# give have none.
_SIGN = ':'


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """Say among how many holders a service is divided, and by what."""

    parts: int = 1
    # Each job has a share for each part; otherwise each model has a part.
    is_by_items: bool = False


WHOLE = Division()


def division_for(engines: int) -> Division:
    """Return how a service with so many engines is divided."""
    if engines < LARGE_ENGINES:
        return WHOLE
    parts = min(MAX_PARTS, math.ceil(engines / PART_ENGINES))
    return Division(parts=parts, is_by_items=True)


def encode(division: Division) -> bytes:
    """Encode what all instances go by, one part as a plain number."""
    if not division.is_by_items:
        return msgspec.msgpack.encode(division.parts)
    return msgspec.msgpack.encode(division)


def decode(value: bytes) -> Division:
    """Decode a division, also a plain number; raises MsgspecError."""
    found = msgspec.msgpack.decode(value, type=int | Division)
    if isinstance(found, int):
        return Division(parts=found)
    return found


def settle_seconds(engines: int) -> float:
    """Return how long so many engines have to be all that are listed."""
    if engines < _MANY_ENGINES:
        return _FEW_SETTLE_SECONDS
    return _MANY_SETTLE_SECONDS


def name(service: ServiceName, number: int, count: int) -> ServiceName:
    """Return the name of a part, the service's own if it is the only one."""
    if count == 1:
        return service
    return ServiceName(f'{service}{_SIGN}{number}')


def names(service: ServiceName, count: int) -> list[ServiceName]:
    """Return the names of all parts of a service."""
    return [name(service, number, count) for number in range(count)]


def service_of(part: ServiceName) -> ServiceName:
    """Return the service that a part belongs to."""
    return ServiceName(part.partition(_SIGN)[0])


def has_engine(part: ServiceName, count: int, engine: TargetId) -> bool:
    """Tell whether an engine belongs to a part.

    By its id alone, so that no two holders ever order one engine, whatever
    they know of the others.
    """
    number = number_of(engine, count)
    return name(service_of(part), number, count) == part


def number_of(key: str, count: int) -> int:
    """Return the number of the part that a key belongs to."""
    return zlib.crc32(key.encode()) % count


def of_model(
    service: ServiceName,
    model: ModelName | None,
    models: Sequence[ModelName],
    count: int,
) -> ServiceName:
    """Return the part that runs a model's jobs and follows its versions."""
    if count == 1 or model is None:
        return name(service, 0, count)
    ordered = sorted(models)
    known = model in ordered
    number = ordered.index(model) if known else zlib.crc32(model.encode())
    return name(service, number % count, count)
