"""Choose the engines that change weights next, and their versions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccarill.core.ids import Instant
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState

# Fraction of the engines that may change weights at a time, and the minimum.
# Loads slow down if more engines load at once.
LOADING_FRACTION = 0.4
MIN_LOADING = 2
# Slots of a model's engines per item of its steps; below 1, since short texts
# free their slots early.
SLOTS_PER_ITEM = 0.75
# Maximum fraction of a model's engines that keep their weights for urgent
# texts; the others are enough for most items of the next step.
MAX_SPARED_FRACTION = 0.4
# Minimum of engines that serve a model, if the fleet has as many.
MIN_ENGINES = 2


class Switch(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an order to an engine to change a model's weights."""

    engine: TargetId
    model: ModelName
    version: WeightVersion


def assign_engines(
    fleet: EngineFleet,
    engines: Sequence[EngineState],
    models: Sequence[ModelName],
    items_by_model: Mapping[ModelName, int],
    now: Instant,
) -> dict[ModelName, tuple[EngineState, ...]]:
    """Return the engines that follow each model's versions.

    Weight changes cost time, and an engine that follows all models changes for
    each version of every trainer. So an engine follows only some models.
    """
    shares = {
        model: _share(engines, len(models), items_by_model.get(model, 0))
        for model in models
    }
    fair_count = math.ceil(sum(shares.values()) / max(1, len(engines)))
    models_by_engine: dict[TargetId, int] = {}
    avoided = {
        engine.target.id
        for engine in engines
        if now < engine.ejected_until or fleet.is_slow(engine, now)
    }
    assigned = {}
    for model in sorted(models):
        ordered = sorted(
            engines,
            key=lambda engine: (
                engine.target.id in avoided,
                models_by_engine.get(engine.target.id, 0) >= fair_count,
                # Engines that follow the model stay, so that a change of
                # the fleet moves few engines.
                -(engine.version(model) or 0),
                models_by_engine.get(engine.target.id, 0),
                engine.target.id,
            ),
        )
        assigned[model] = tuple(ordered[: shares[model]])
        for engine in assigned[model]:
            count = models_by_engine.get(engine.target.id, 0)
            models_by_engine[engine.target.id] = count + 1
    return assigned


def _share(engines: Sequence[EngineState], models: int, items: int) -> int:
    """Return the number of engines for a model with so many items per step.

    A model gets at least an even share. A step with fewer slots than items
    runs in rounds, each as long as its longest text.
    """
    if not engines:
        return 0
    slots = sum(engine.target.slots for engine in engines) / len(engines)
    even = math.ceil(len(engines) / max(1, models))
    wanted = math.ceil(SLOTS_PER_ITEM * items / max(1.0, slots))
    return min(len(engines), max(MIN_ENGINES, even, wanted))


def next_switches(
    fleet: EngineFleet,
    versions_by_model: Mapping[ModelName, WeightVersion],
    items_by_model: Mapping[ModelName, int],
    now: Instant,
    held: Collection[ModelName] = (),
) -> list[Switch]:
    """Return the weight changes to start now.

    Engines that can serve the coming step of a model in `held` don't change.
    """
    ready = [
        engine
        for engine in fleet.engines_by_id.values()
        if not engine.target.is_leaving
    ]
    assigned = assign_engines(
        fleet, ready, sorted(versions_by_model), items_by_model, now
    )
    busy = sum(1 for engine in ready if engine.switching_models)
    limit = max(MIN_LOADING, math.floor(LOADING_FRACTION * len(ready))) - busy
    candidates: list[tuple[float, Switch]] = []
    for model, engines in assigned.items():
        version = versions_by_model[model]
        serving = [e for e in engines if _serves(e, model, version)]
        # Ids, since comparing EngineState records is expensive.
        spared = {e.target.id for e in _spared(serving, model, len(engines))}
        serving_ids = {engine.target.id for engine in serving}
        # At least one engine keeps serving a model until another one does.
        allowed = max(1, len(engines) - 1)
        allowed -= sum(1 for e in engines if model in e.switching_models)
        for engine in sorted(engines, key=lambda e: e.running):
            current = engine.version(model) or 0
            if engine.switching_models or current >= version:
                continue
            is_serving = engine.target.id in serving_ids
            if is_serving and (allowed <= 0 or model in held):
                continue
            if engine.target.id in spared:
                continue
            allowed -= 1
            switch = Switch(
                engine=engine.target.id, model=model, version=version
            )
            candidates.append((_urgency(engine, current, version), switch))
    candidates.sort(key=lambda pair: pair[0])
    return _select([switch for _, switch in candidates], limit)


def _select(candidates: list[Switch], limit: int) -> list[Switch]:
    selected: list[Switch] = []
    engines: set[TargetId] = set()
    for switch in candidates:
        if len(selected) >= limit:
            break
        if switch.engine not in engines:
            engines.add(switch.engine)
            selected.append(switch)
    return selected


def _serves(
    engine: EngineState, model: ModelName, version: WeightVersion
) -> bool:
    """Return whether an engine can run the step that needs a version."""
    if model in engine.switching_models:
        return False
    return (engine.version(model) or 0) >= version - 1


def _spared(
    serving: Sequence[EngineState], model: ModelName, count: int
) -> list[EngineState]:
    """Return the engines that keep their weights for an urgent text.

    A weight change interrupts or moves the text, and the longest texts decide
    when a step ends. None is spared if the rest can't serve the next step.
    """
    urgent = [engine for engine in serving if model in engine.urgent_models]
    return urgent if len(urgent) <= MAX_SPARED_FRACTION * count else []


def _urgency(engine: EngineState, old: int, version: WeightVersion) -> float:
    # The engine with the oldest weights is of the least use, so it goes first;
    # among equals, the one with the fewest runs to interrupt.
    return -1000.0 * (version - old) + engine.running
