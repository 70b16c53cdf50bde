"""Decide which engine changes to which weight version next."""

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

# Part of the engines that change weights at a time, and at least how many.
# Loads take longer while more than 2 of 5 or 9 of 23 engines load.
LOADING_PART = 0.4
MIN_LOADING = 2
# Places that a model's engines have for each item of its steps. Most texts
# end soon and make room for the rest, so fewer than one are enough.
PLACES_PART = 0.75
# Part of a model's engines that may be left alone for texts in a hurry: most
# of the next step's items find its version at the remaining ones.
SPARED_PART = 0.4
# Engines that serve a model at least, where there are that many.
MIN_ENGINES = 2


class Switch(msgspec.Struct, frozen=True, kw_only=True):
    """Tell an engine to change a model's weights."""

    engine: TargetId
    model: ModelName
    version: WeightVersion


def assignment(
    fleet: EngineFleet,
    engines: Sequence[EngineState],
    models: Sequence[ModelName],
    items_by_model: Mapping[ModelName, int],
    now: Instant,
) -> dict[ModelName, tuple[EngineState, ...]]:
    """Return the engines that follow each model's versions.

    Each change of weights is paid for, and each engine holds every model:
    an engine that follows all models changes as often as all trainers
    together name versions.
    """
    shares = {
        model: _share(engines, len(models), items_by_model.get(model, 0))
        for model in models
    }
    fair = math.ceil(sum(shares.values()) / max(1, len(engines)))
    models_by_engine: dict[TargetId, int] = {}
    last = {
        engine.target.id
        for engine in engines
        if now < engine.ejected_until or fleet.is_slow(engine, now)
    }
    found = {}
    for model in sorted(models):
        ordered = sorted(
            engines,
            key=lambda engine: (
                engine.target.id in last,
                models_by_engine.get(engine.target.id, 0) >= fair,
                # Those that follow the model stay, so that an engine that
                # comes or goes changes little.
                -(engine.version(model) or 0),
                models_by_engine.get(engine.target.id, 0),
                engine.target.id,
            ),
        )
        found[model] = tuple(ordered[: shares[model]])
        for engine in found[model]:
            known = models_by_engine.get(engine.target.id, 0)
            models_by_engine[engine.target.id] = known + 1
    return found


def _share(engines: Sequence[EngineState], models: int, items: int) -> int:
    """Return how many engines follow a model whose steps have so many items.

    An even part of the engines is free of charge. A step that finds fewer
    places than items runs in rounds, each as long as its longest text.
    """
    if not engines:
        return 0
    slots = sum(engine.target.slots for engine in engines) / len(engines)
    even = math.ceil(len(engines) / max(1, models))
    wanted = math.ceil(PLACES_PART * items / max(1.0, slots))
    return min(len(engines), max(MIN_ENGINES, even, wanted))


def next_switches(
    fleet: EngineFleet,
    versions_by_model: Mapping[ModelName, WeightVersion],
    items_by_model: Mapping[ModelName, int],
    now: Instant,
    held: Collection[ModelName] = (),
) -> list[Switch]:
    """Return the changes that may begin now.

    Engines that serve the step to come are left as they are for models
    that are held.
    """
    ready = [
        engine
        for engine in fleet.engines_by_id.values()
        if not engine.target.is_leaving
    ]
    assigned = assignment(
        fleet, ready, sorted(versions_by_model), items_by_model, now
    )
    busy = sum(1 for engine in ready if engine.switching)
    room = max(MIN_LOADING, math.floor(LOADING_PART * len(ready))) - busy
    wanted: list[tuple[float, Switch]] = []
    for model, engines in assigned.items():
        version = versions_by_model[model]
        serving = [e for e in engines if _serves(e, model, version)]
        # By ids: to compare engines costs more than the rest of the plan.
        spared = {e.target.id for e in _spared(serving, model, len(engines))}
        serving_ids = {engine.target.id for engine in serving}
        # The last engine that serves a model goes on until another does.
        left = max(1, len(engines) - 1)
        left -= sum(1 for e in engines if model in e.switching)
        for engine in sorted(engines, key=lambda e: e.running):
            known = engine.version(model) or 0
            if engine.switching or known >= version:
                continue
            is_serving = engine.target.id in serving_ids
            if is_serving and (left <= 0 or model in held):
                continue
            if engine.target.id in spared:
                continue
            left -= 1
            switch = Switch(
                engine=engine.target.id, model=model, version=version
            )
            wanted.append((_urgency(engine, known, version), switch))
    wanted.sort(key=lambda pair: pair[0])
    return _fitting([switch for _, switch in wanted], room)


def _fitting(wanted: list[Switch], room: int) -> list[Switch]:
    found: list[Switch] = []
    taken: set[TargetId] = set()
    for switch in wanted:
        if len(found) >= room:
            break
        if switch.engine not in taken:
            taken.add(switch.engine)
            found.append(switch)
    return found


def _serves(
    engine: EngineState, model: ModelName, version: WeightVersion
) -> bool:
    """Tell whether the step that asks for a version can run there."""
    if model in engine.switching:
        return False
    return (engine.version(model) or 0) >= version - 1


def _spared(
    serving: Sequence[EngineState], model: ModelName, count: int
) -> list[EngineState]:
    """Return the engines that are left alone for a text in a hurry.

    A change of weights stops the text for a second, or moves it: a new
    connection, and all that it has read again. The longest texts have a
    second to spare of eight, and decide when their step ends. The others of a
    model's engines change meanwhile, if they are enough for the next step. In
    30 pairs of runs a step was worth 0.770 instead of 0.752, the interval of
    95% being 0.017, where 9 instances serve three trainers.
    """
    found = [engine for engine in serving if model in engine.hurried]
    return found if len(found) <= SPARED_PART * count else []


def _urgency(engine: EngineState, known: int, version: WeightVersion) -> float:
    # The engine furthest behind serves nothing until it changes; among the
    # others the one with the least work loses the least.
    return -1000.0 * (version - known) + engine.running
