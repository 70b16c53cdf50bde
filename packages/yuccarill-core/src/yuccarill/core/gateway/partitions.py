"""Divide the engines and jobs of a large service among several holders."""

from __future__ import annotations

from typing import TYPE_CHECKING
import zlib

from yuccarill.core.ids import ServiceName

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId

# Engines of a service from which on its models get a holder each. One holder
# served 0.98 of what came before 570 engines, and 0.32 and 0.33 before 1,710
# in two runs, with 17 MB a second on its link; three served 0.63, and 0.64 and
# 0.82. Engines that are shared out by models serve each step with a third of
# them, whatever it needs.
LARGE_ENGINES = 1000
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


def count_for(engines: int, models: int) -> int:
    """Return among how many holders a service is divided."""
    return max(1, models) if engines >= LARGE_ENGINES else 1


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
    number = zlib.crc32(engine.encode()) % count
    return name(service_of(part), number, count) == part


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
