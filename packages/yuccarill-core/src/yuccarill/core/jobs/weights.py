"""Decide which engine changes to which weight version next."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState

# Part of the engines that change weights at a time. The weight store slows
# down beyond 2 of 5 or 9 of 23 loads.
LOADING_PART = 0.4
# Engines that serve a model at least, where there are that many.
MIN_ENGINES = 2


class Switch(msgspec.Struct, frozen=True, kw_only=True):
    """Tell an engine to change a model's weights."""

    engine: TargetId
    model: ModelName
    version: WeightVersion


def assignment(
    engines: Sequence[TargetId], models: Sequence[ModelName]
) -> dict[ModelName, tuple[TargetId, ...]]:
    """Return the engines that follow each model's versions.

    Each change of weights is paid for, and each engine holds every model:
    an engine that follows all models changes as often as all trainers
    together name versions.
    """
    ordered = sorted(engines)
    count = len(ordered)
    if not count:
        return {model: () for model in models}
    share = max(MIN_ENGINES, math.ceil(count / max(1, len(models))))
    share = min(share, count)
    found = {}
    for place, model in enumerate(sorted(models)):
        first = place * count // len(models)
        found[model] = tuple(
            ordered[(first + offset) % count] for offset in range(share)
        )
    return found


def next_switches(
    fleet: EngineFleet,
    versions_by_model: Mapping[ModelName, WeightVersion],
) -> list[Switch]:
    """Return the changes that may begin now."""
    ready = [e for e in fleet.engines_by_id.values() if _is_ready(e)]
    models = sorted(versions_by_model)
    assigned = assignment([e.target.id for e in ready], models)
    busy = sum(1 for engine in ready if engine.switching)
    room = max(1, math.floor(LOADING_PART * len(ready))) - busy
    wanted: list[tuple[float, Switch]] = []
    for model in models:
        version = versions_by_model[model]
        for engine_id in assigned[model]:
            engine = fleet.engines_by_id[engine_id]
            known = engine.version(model)
            if engine.switching or (known is not None and known >= version):
                continue
            switch = Switch(engine=engine_id, model=model, version=version)
            wanted.append((_urgency(engine, known, version), switch))
    wanted.sort(key=lambda pair: pair[0])
    found: list[Switch] = []
    taken: set[TargetId] = set()
    for _, switch in wanted:
        if len(found) >= room:
            break
        if switch.engine not in taken:
            taken.add(switch.engine)
            found.append(switch)
    return found


def _is_ready(engine: EngineState) -> bool:
    return not engine.target.is_leaving


def _urgency(
    engine: EngineState, known: WeightVersion | None, version: WeightVersion
) -> float:
    # The engine furthest behind serves nothing until it changes; among the
    # others the one with the least work loses the least.
    behind = version - known if known is not None else version
    return -1000.0 * behind + engine.running
