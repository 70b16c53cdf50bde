"""Choose the engine of an item by what is known of each engine."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import WeightVersion
from yuccarill.core.speeds.book import DEFAULT_PACE
from yuccarill.core.speeds.estimate import PaceEstimate
from yuccarill.core.speeds.estimate import SpeedState
from yuccarill.core.speeds import median

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.speeds.book import LogPaceBook

# Seconds after which a gap has lost two thirds of its weight in an engine's
# average. All runs of an engine share its pauses: counted by events, one
# pause of 0.1 s made an engine look slow and moved 45 runs off it.
_PACE_MEMORY = 0.3
# Seconds for which a measured pace counts. An engine that nothing runs on
# any more has to be tried again to see whether it still is slow.
PACE_SECONDS = 2.0
# Times the usual pace, and seconds at least, without an event after which
# a run goes on elsewhere: to go on costs some ms of reading the text again.
SILENT_FACTOR = 10.0
MIN_SILENCE = 0.4
# Seconds that a run stays at an engine before its pace moves it on.
MIN_STAY = 0.25
# Times the median pace above which an engine counts as slow. Engines of one
# fleet differ by up to 1.3, a fault by 2.5 and more.
SLOW_FACTOR = 2.0
# Seconds for which an engine that failed gets nothing new, doubled up to
# the second with each failure in a row.
FIRST_EJECTION = 0.5
LAST_EJECTION = 4.0
# Seconds for which the median of lasting paces stands.
_USUAL_SECONDS = 0.1


class EngineState(msgspec.Struct, kw_only=True):
    """Track one start of an engine."""

    target: ListedTarget
    runs_by_model: collections.Counter[ModelName | None] = msgspec.field(
        default_factory=collections.Counter
    )
    # Seconds between two events, averaged; none until two were seen.
    pace: float | None = None
    paced_at: Instant = Instant(0.0)
    versions_by_model: dict[ModelName, WeightVersion] = {}
    # Models of which a text runs here that has no time to spare.
    hurried: set[ModelName] = set()
    # Models whose weights are being changed here.
    switching: set[ModelName] = set()
    # Those of them whose runs had time to end and have to go elsewhere.
    emptying: set[ModelName] = set()
    failures: int = 0
    ejected_until: Instant = Instant(0.0)

    @property
    def running(self) -> int:
        return self.runs_by_model.total()

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
        is_old = self.known_pace(now) is None
        part = 1.0 - math.exp((self.paced_at - now) / _PACE_MEMORY)
        self.paced_at = now
        if self.pace is None or is_old:
            self.pace = seconds
        else:
            self.pace += part * (seconds - self.pace)

    def known_pace(self, now: Instant) -> float | None:
        """Return the pace if it was measured lately."""
        return self.pace if now < self.paced_at + PACE_SECONDS else None

    def succeed(self) -> None:
        self.failures = 0

    def fail(self, now: Instant) -> None:
        """Leave the engine out for a while."""
        # Runs that fail together are one failure of their engine.
        if now < self.ejected_until:
            return
        seconds = min(FIRST_EJECTION * 2.0**self.failures, LAST_EJECTION)
        self.failures += 1
        self.ejected_until = Instant(now + seconds)


class EngineFleet:
    """Hold the engines of one service.

    With a book of speeds, engines are compared by their lasting paces; else
    by those of the last seconds.
    """

    def __init__(self, speeds: LogPaceBook | None = None) -> None:
        self.engines_by_id: dict[TargetId, EngineState] = {}
        self.speeds = speeds
        self._usual: float | None = None
        self._usual_at = Instant(-1.0)

    @property
    def running(self) -> int:
        """Count the runs at all engines."""
        return sum(each.running for each in self.engines_by_id.values())

    def is_current(self, engine: EngineState) -> bool:
        """Tell whether an engine still is the process that is listed."""
        return self.engines_by_id.get(engine.target.id) is engine

    def update(self, targets: Iterable[ListedTarget]) -> None:
        """Take the listed engines; those that left are forgotten."""
        listed_by_id = {target.id: target for target in targets}
        for gone in self.engines_by_id.keys() - listed_by_id.keys():
            del self.engines_by_id[gone]
            if self.speeds is not None:
                self.speeds.forget(gone)
        for target in listed_by_id.values():
            known = self.engines_by_id.get(target.id)
            is_same = known is not None and known.target.is_same_start(target)
            if self.speeds is not None:
                if known is not None and not is_same:
                    self.speeds.forget(target.id)
                self.speeds.follow(target.id, target.start)
            if known is not None and is_same:
                known.target = target
                continue
            # A process that started again under its id knows nothing of
            # before: with the versions that the old one was seen with, an
            # engine that came back with older weights would be given items
            # that it can't run, and no order to change. What runs there
            # keeps the old state, and ends with its connection.
            self.engines_by_id[target.id] = EngineState(target=target)

    def choose(
        self, job: Job, now: Instant, without: EngineState | None = None
    ) -> EngineState | None:
        """Return the engine with a free place that will be fastest."""
        fitting = [
            engine
            for engine in self.engines_by_id.values()
            if engine is not without and self.can_run(engine, job, now)
        ]
        return min(fitting, key=lambda e: self.cost(e, now), default=None)

    def cost(self, engine: EngineState, now: Instant) -> float:
        """Return how slow an engine would be with one more run."""
        if self.speeds is not None:
            return self.estimate(engine, engine.running, now).pace
        return _cost(engine, self.usual_pace(now) or 0.0, now)

    def estimate(
        self, engine: EngineState, beside: int, now: Instant
    ) -> PaceEstimate:
        """Return the seconds an event of a run with so many beside."""
        if self.speeds is not None:
            return self.speeds.pace(engine.target.id, beside, now)
        known = engine.known_pace(now) or self.usual_pace(now)
        return PaceEstimate(pace=known or DEFAULT_PACE, deviation=0.0)

    def full_pace(self, engine: EngineState, now: Instant) -> float:
        """Return the seconds an event where each place is taken."""
        beside = max(0, engine.target.slots - 1)
        return self.estimate(engine, beside, now).pace

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

    def usual_pace(self, now: Instant) -> float | None:
        """Return the median pace, none if no engine was seen at work."""
        # Asked for each of some hundred runs at the same instant.
        kept = 0.0 if self.speeds is None else _USUAL_SECONDS
        if self._usual_at <= now <= self._usual_at + kept:
            return self._usual
        self._usual_at = now
        self._usual = self._median_pace(now)
        return self._usual

    def _median_pace(self, now: Instant) -> float | None:
        if self.speeds is not None:
            return self._median_estimate(now)
        paces = [
            pace
            for engine in self.engines_by_id.values()
            if (pace := engine.known_pace(now)) is not None
        ]
        return median.median_low(paces) if paces else None

    def _median_estimate(self, now: Instant) -> float | None:
        assert self.speeds is not None
        paces = [
            self.speeds.pace(name, max(0, engine.running - 1), now).pace
            for name, engine in self.engines_by_id.items()
            if self.speeds.state(name, now) is not SpeedState.UNKNOWN
        ]
        return median.median_low(paces) if paces else None

    def is_silent(self, last_at: Instant, now: Instant) -> bool:
        """Tell whether a run has made no event for too long."""
        usual = self.usual_pace(now) or 0.0
        return now - last_at > max(MIN_SILENCE, SILENT_FACTOR * usual)

    def is_slow(self, engine: EngineState, now: Instant) -> bool:
        """Tell whether an engine is much slower than it should be."""
        if self.speeds is not None:
            found = self.speeds.state(engine.target.id, now)
            return found is SpeedState.FAULTY
        usual = self.usual_pace(now) or 0.0
        return _slowness(engine, usual, now) >= SLOW_FACTOR

    def is_held_up(
        self,
        engine: EngineState,
        job: Job,
        started_at: Instant,
        last_at: Instant,
        now: Instant,
    ) -> bool:
        """Tell whether a run is better off at another engine."""
        if self.has_stopped(engine, job, last_at, now):
            return True
        # A pace from before the run came says little of the engine now.
        has_stayed = now - started_at >= MIN_STAY
        return has_stayed and self.is_slow(engine, now)

    def has_stopped(
        self, engine: EngineState, job: Job, last_at: Instant, now: Instant
    ) -> bool:
        """Tell whether a run gets on no more where it is."""
        if self.is_silent(last_at, now) or job.model in engine.emptying:
            return True
        # Its text goes on no more: the run would only wait for the silence
        # that shows it.
        return self._has_started_again(engine)

    def _has_started_again(self, engine: EngineState) -> bool:
        listed = self.engines_by_id.get(engine.target.id)
        if listed is None or listed is engine:
            return False
        return not engine.target.is_same_start(listed.target)

    def has_places(self, now: Instant) -> bool:
        """Tell whether any engine at work has a free place."""
        return any(
            engine.running < engine.target.slots
            for engine in self.engines_by_id.values()
            if not engine.target.is_leaving and now >= engine.ejected_until
        )


def _slowness(engine: EngineState, usual: float, now: Instant) -> float:
    pace = engine.known_pace(now)
    if pace is None or usual <= 0.0:
        return 1.0
    return max(1.0, pace / usual)


def _cost(engine: EngineState, usual: float, now: Instant) -> float:
    slowness = _slowness(engine, usual, now)
    load = (engine.running + 1) / max(1, engine.target.slots)
    # Slow engines come last whatever their load is, since the last item of
    # a group decides when the group counts.
    return load + math.floor(slowness / SLOW_FACTOR) * 10.0 + slowness * 0.1
