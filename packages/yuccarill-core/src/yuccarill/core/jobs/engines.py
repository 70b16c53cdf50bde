"""Choose the engine of an item by load, pace and weight version."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import WeightVersion
from yuccarill.core.speeds.estimate import PaceEstimate
from yuccarill.core.speeds.estimate import SpeedState
from yuccarill.core.speeds import median
from yuccarill.core.speeds.pace_estimator import DEFAULT_PACE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import TargetId
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.speeds.pace_estimator import PaceEstimator

# Time constant of an engine's average pace. The weight of a gap decays by time
# instead of by event, since one pause delays all runs of an engine at once.
# Weighted by event, one pause of 0.1 s made an engine look slow and moved 45
# runs.
_PACE_DECAY_SECONDS = 0.3
# Seconds for which a measured pace is valid. An idle engine is then tried
# again, since only a run shows whether it is still slow.
PACE_SECONDS = 2.0
# A run moves to another engine after a time without an event: this many times
# the usual pace, and at least this many seconds.
SILENT_FACTOR = 10.0
MIN_SILENCE_SECONDS = 0.4
# Seconds that a run stays on an engine before a slow pace may move it.
MIN_STAY_SECONDS = 0.25
# Multiple of the median pace from which an engine counts as slow. Sound
# engines of one fleet differ by a factor of up to 1.3, faulty ones by 2.5 and
# more.
SLOW_FACTOR = 2.0
# Seconds for which a failed engine gets no new runs, doubled with each
# consecutive failure up to the maximum.
FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# Seconds for which the median of long-term paces is cached.
_USUAL_PACE_CACHE_SECONDS = 0.1


class EngineState(msgspec.Struct, kw_only=True):
    """Track one incarnation of an engine process."""

    target: ListedTarget
    runs_by_model: collections.Counter[ModelName | None] = msgspec.field(
        default_factory=collections.Counter
    )
    # Average seconds between two events, None before the first gap.
    pace: float | None = None
    paced_at: Instant = Instant(0.0)
    versions_by_model: dict[ModelName, WeightVersion] = {}
    # Models with an urgent text on this engine.
    urgent_models: set[ModelName] = set()
    # Models whose weights the engine is changing.
    switching_models: set[ModelName] = set()
    # Models in `switching_models` whose remaining runs have to move away.
    draining_models: set[ModelName] = set()
    failures: int = 0
    ejected_until: Instant = Instant(0.0)

    @property
    def running(self) -> int:
        return self.runs_by_model.total()

    def version(self, model: ModelName) -> WeightVersion | None:
        """Return the newest known version of a model on the engine."""
        registered = self.target.versions_by_model.get(model)
        reported = self.versions_by_model.get(model)
        if registered is None or reported is None:
            return reported if registered is None else registered
        return max(registered, reported)

    def record_version(self, model: ModelName, version: WeightVersion) -> None:
        """Record a version that the engine itself has reported."""
        known = self.versions_by_model.get(model)
        if known is None or version > known:
            self.versions_by_model[model] = version

    def record_gap(self, seconds: float, now: Instant) -> None:
        """Update the pace with the time between two events of a run."""
        is_expired = self.known_pace(now) is None
        weight = 1.0 - math.exp((self.paced_at - now) / _PACE_DECAY_SECONDS)
        self.paced_at = now
        if self.pace is None or is_expired:
            self.pace = seconds
        else:
            self.pace += weight * (seconds - self.pace)

    def known_pace(self, now: Instant) -> float | None:
        """Return the pace, None if the measurement has expired."""
        return self.pace if now < self.paced_at + PACE_SECONDS else None

    def succeed(self) -> None:
        self.failures = 0

    def fail(self, now: Instant) -> None:
        """Eject the engine for a time that grows with each failure."""
        # Runs that fail at the same time count as one engine failure.
        if now < self.ejected_until:
            return
        seconds = min(
            FIRST_EJECTION_SECONDS * 2.0**self.failures, MAX_EJECTION_SECONDS
        )
        self.failures += 1
        self.ejected_until = Instant(now + seconds)


class EngineFleet:
    """Hold the engines of one service.

    With `speeds`, engines are compared by their long-term paces, otherwise by
    those of the last seconds.
    """

    def __init__(self, speeds: PaceEstimator | None = None) -> None:
        self.engines_by_id: dict[TargetId, EngineState] = {}
        self.speeds = speeds
        self._usual_pace: float | None = None
        self._usual_pace_at = Instant(-1.0)

    @property
    def running(self) -> int:
        """Return the number of runs on all engines."""
        return sum(each.running for each in self.engines_by_id.values())

    def is_current(self, engine: EngineState) -> bool:
        """Return whether an engine is still the registered process."""
        return self.engines_by_id.get(engine.target.id) is engine

    def update(self, targets: Iterable[ListedTarget]) -> None:
        """Replace the engines by those that are registered now."""
        listed_by_id = {target.id: target for target in targets}
        for removed in self.engines_by_id.keys() - listed_by_id.keys():
            del self.engines_by_id[removed]
            if self.speeds is not None:
                self.speeds.forget(removed)
        for target in listed_by_id.values():
            old = self.engines_by_id.get(target.id)
            is_same = old is not None and old.target.is_same_start(target)
            if self.speeds is not None:
                if old is not None and not is_same:
                    self.speeds.forget(target.id)
                self.speeds.track_start(target.id, target.start)
            if old is not None and is_same:
                old.target = target
                continue
            # A restarted process gets a new state. If it kept the versions of
            # the old process, an engine that restarts with older weights would
            # get items that it can't run, and no order to load new ones. Runs
            # of the old process keep its state until their connection ends.
            self.engines_by_id[target.id] = EngineState(target=target)

    def choose(
        self, job: Job, now: Instant, without: EngineState | None = None
    ) -> EngineState | None:
        """Return the engine with a free slot and the lowest cost."""
        eligible = [
            engine
            for engine in self.engines_by_id.values()
            if engine is not without and self.can_run(engine, job, now)
        ]
        return min(eligible, key=lambda e: self.cost(e, now), default=None)

    def cost(self, engine: EngineState, now: Instant) -> float:
        """Return the cost of one more run on an engine, the lowest is best."""
        if self.speeds is not None:
            return self.estimate(engine, engine.running, now).pace
        return _load_cost(engine, self.usual_pace(now) or 0.0, now)

    def estimate(
        self, engine: EngineState, other_runs: int, now: Instant
    ) -> PaceEstimate:
        """Return the expected pace of a run beside `other_runs` others."""
        if self.speeds is not None:
            return self.speeds.pace(engine.target.id, other_runs, now)
        pace = engine.known_pace(now) or self.usual_pace(now)
        return PaceEstimate(pace=pace or DEFAULT_PACE, deviation=0.0)

    def full_pace(self, engine: EngineState, now: Instant) -> float:
        """Return the seconds per event with all slots in use."""
        other_runs = max(0, engine.target.slots - 1)
        return self.estimate(engine, other_runs, now).pace

    def can_run(self, engine: EngineState, job: Job, now: Instant) -> bool:
        """Return whether an engine can run an item of a job now."""
        if engine.target.is_leaving or now < engine.ejected_until:
            return False
        if engine.running >= engine.target.slots:
            return False
        if job.model is None:
            return True
        if job.model in engine.switching_models:
            return False
        version = engine.version(job.model)
        return version is not None and version >= job.min_version

    def usual_pace(self, now: Instant) -> float | None:
        """Return the median pace, None if no engine is measured."""
        # Cached, since many runs ask at the same instant.
        lifetime = 0.0 if self.speeds is None else _USUAL_PACE_CACHE_SECONDS
        if self._usual_pace_at <= now <= self._usual_pace_at + lifetime:
            return self._usual_pace
        self._usual_pace_at = now
        self._usual_pace = self._median_pace(now)
        return self._usual_pace

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
        """Return whether a run has produced no event for too long."""
        usual = self.usual_pace(now) or 0.0
        return now - last_at > max(MIN_SILENCE_SECONDS, SILENT_FACTOR * usual)

    def is_slow(self, engine: EngineState, now: Instant) -> bool:
        """Return whether an engine is much slower than expected."""
        if self.speeds is not None:
            state = self.speeds.state(engine.target.id, now)
            return state is SpeedState.FAULTY
        usual = self.usual_pace(now) or 0.0
        return _relative_pace(engine, usual, now) >= SLOW_FACTOR

    def should_move(
        self,
        engine: EngineState,
        job: Job,
        started_at: Instant,
        last_at: Instant,
        now: Instant,
    ) -> bool:
        """Return whether a run should move to another engine."""
        if self.is_stalled(engine, job, last_at, now):
            return True
        # A pace measured before the run started may be out of date.
        has_stayed = now - started_at >= MIN_STAY_SECONDS
        return has_stayed and self.is_slow(engine, now)

    def is_stalled(
        self, engine: EngineState, job: Job, last_at: Instant, now: Instant
    ) -> bool:
        """Return whether a run makes no more progress on its engine."""
        if self.is_silent(last_at, now) or job.model in engine.draining_models:
            return True
        # A restarted engine has lost the run, so there is no need to wait for
        # the silence timeout.
        return self._has_restarted(engine)

    def _has_restarted(self, engine: EngineState) -> bool:
        listed = self.engines_by_id.get(engine.target.id)
        if listed is None or listed is engine:
            return False
        return not engine.target.is_same_start(listed.target)

    def has_free_slots(self, now: Instant) -> bool:
        """Return whether any usable engine has a free slot."""
        return any(
            engine.running < engine.target.slots
            for engine in self.engines_by_id.values()
            if not engine.target.is_leaving and now >= engine.ejected_until
        )


def _relative_pace(engine: EngineState, usual: float, now: Instant) -> float:
    pace = engine.known_pace(now)
    if pace is None or usual <= 0.0:
        return 1.0
    return max(1.0, pace / usual)


def _load_cost(engine: EngineState, usual: float, now: Instant) -> float:
    ratio = _relative_pace(engine, usual, now)
    load = (engine.running + 1) / max(1, engine.target.slots)
    # Slow engines come last whatever their load, since the last item of a
    # group decides when the group is complete.
    return load + math.floor(ratio / SLOW_FACTOR) * 10.0 + ratio * 0.1
