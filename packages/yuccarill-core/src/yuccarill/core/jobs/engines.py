"""Choose the engine of an item by what is known of each engine."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.job import Job

# Part of a new event gap in an engine's average: three or four events in a
# row show that an engine turned slow.
_PACE_PART = 0.3
# Times the median pace above which an engine counts as slow. Engines of one
# fleet differ by up to 1.3, a fault by 2.5 and more.
SLOW_FACTOR = 2.0
# Seconds for which an engine that failed gets nothing new, doubled up to
# the second with each failure in a row.
FIRST_EJECTION = 0.5
LAST_EJECTION = 4.0


class EngineState(msgspec.Struct, kw_only=True):
    """Track one start of an engine."""

    target: ListedTarget
    running: int = 0
    # Seconds between two events, averaged; none until two were seen.
    pace: float | None = None
    paced_at: Instant = Instant(0.0)
    versions_by_model: dict[ModelName, WeightVersion] = {}
    # Models whose weights are being changed here.
    switching: set[ModelName] = set()
    failures: int = 0
    ejected_until: Instant = Instant(0.0)

    def version(self, model: ModelName) -> WeightVersion | None:
        """Return the newest version that the engine is known to have."""
        listed = self.target.versions_by_model.get(model)
        seen = self.versions_by_model.get(model)
        if listed is None or seen is None:
            return seen if listed is None else listed
        return max(listed, seen)

    def saw_version(self, model: ModelName, version: WeightVersion) -> None:
        """Learn a version from the engine itself."""
        known = self.versions_by_model.get(model)
        if known is None or version > known:
            self.versions_by_model[model] = version

    def saw_gap(self, seconds: float, now: Instant) -> None:
        """Learn from the time between two events of a run."""
        self.paced_at = now
        if self.pace is None:
            self.pace = seconds
        else:
            self.pace += _PACE_PART * (seconds - self.pace)

    def succeed(self) -> None:
        self.failures = 0

    def fail(self, now: Instant) -> None:
        """Leave the engine out for a while."""
        seconds = min(FIRST_EJECTION * 2.0**self.failures, LAST_EJECTION)
        self.failures += 1
        self.ejected_until = Instant(now + seconds)


class EngineFleet:
    """Hold the engines of one service."""

    def __init__(self) -> None:
        self.engines_by_id: dict[TargetId, EngineState] = {}

    def update(self, targets: Iterable[ListedTarget]) -> None:
        """Take the listed engines; those that left are forgotten."""
        listed_by_id = {target.id: target for target in targets}
        for gone in self.engines_by_id.keys() - listed_by_id.keys():
            del self.engines_by_id[gone]
        for target in listed_by_id.values():
            known = self.engines_by_id.get(target.id)
            if known is None:
                self.engines_by_id[target.id] = EngineState(
                    target=target, versions_by_model={}, switching=set()
                )
            else:
                known.target = target

    def choose(self, job: Job, now: Instant) -> EngineState | None:
        """Return the engine with a free place that will be fastest."""
        fitting = [
            engine
            for engine in self.engines_by_id.values()
            if self.can_run(engine, job, now)
        ]
        usual = self.usual_pace()
        return min(fitting, key=lambda e: _cost(e, usual), default=None)

    def can_run(self, engine: EngineState, job: Job, now: Instant) -> bool:
        """Tell whether an engine may get an item of a job."""
        if engine.target.is_leaving or now < engine.ejected_until:
            return False
        if engine.running >= engine.target.slots:
            return False
        if job.model is None:
            return True
        if job.model in engine.switching:
            return False
        version = engine.version(job.model)
        return version is not None and version >= job.min_version

    def usual_pace(self) -> float | None:
        """Return the median pace, none if no engine was seen at work."""
        paces = [
            engine.pace
            for engine in self.engines_by_id.values()
            if engine.pace is not None
        ]
        return statistics.median_low(paces) if paces else None

    def is_slow(self, engine: EngineState) -> bool:
        """Tell whether an engine is much slower than the others."""
        usual = self.usual_pace()
        if usual is None or engine.pace is None:
            return False
        return engine.pace > SLOW_FACTOR * usual


def _cost(engine: EngineState, usual: float | None) -> float:
    slowness = 1.0
    if usual and engine.pace is not None:
        slowness = max(1.0, engine.pace / usual)
    load = (engine.running + 1) / max(1, engine.target.slots)
    # Slow engines come last whatever their load is, since the last item of
    # a group decides when the group counts.
    return load + math.floor(slowness / SLOW_FACTOR) * 10.0 + slowness * 0.1
