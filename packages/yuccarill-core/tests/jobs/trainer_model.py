"""Simulate trainers that wait for their steps, on engines of unequal speed.

A trainer submits the next step before the last one has ended, and waits for
nine tenths of a step's groups. Texts have lognormal lengths, one in twelve is
five times as long. An engine slows down with each run, and pauses at random.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.jobs import engine_assignment
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.core.jobs import planning
from yuccarill.core.speeds import pace_estimator

from . import items
from . import load_model

EVENT_SECONDS = 0.041
STEP_SECONDS = 4.0
DEADLINE_SECONDS = 7.9
TIMEOUT_SECONDS = 12.0
TRAINING_SECONDS = 1.0
WANTED_FRACTION = 0.9
PACE_FACTORS = (0.6, 1.0, 1.6)
# Relative slowdown of an engine for each further run.
SLOWDOWN = 0.03
PAUSE_SECONDS = 0.6
PAUSE_FACTOR = 2.5
MOVE_INTERVAL_SECONDS = 0.1
# Delay before the first event of a new run, and of a resumed one.
START_SECONDS = 0.02
RESUME_SECONDS = 0.15


class Trainer(msgspec.Struct, kw_only=True):
    """Describe one trainer and count its groups in time."""

    name: str
    groups: int
    size: int
    mean_events: float = 15.0
    submitted_at: list[float] = []
    ended_at: dict[int, float] = {}
    carried: list[list[Any]] = []
    in_time: int = 0

    @property
    def wanted(self) -> int:
        return round(WANTED_FRACTION * self.groups)


class Slowness(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the faults of engines and their times in seconds."""

    pause_fraction: float = 0.0
    faulty_fraction: float = 0.0
    faulty_factor: float = 1.0
    fault_starts_at: float = 8.0
    fault_ends_at: float = 24.0


class Running(msgspec.Struct, kw_only=True, eq=False):
    """Track one text that an engine generates."""

    run: queue_module.ItemRun
    engine: engines_module.EngineState
    started_at: Instant
    last_at: Instant
    has_event: bool = False
    is_stopped: bool = False


class TrainerModel:
    """Run trainers' steps with or without a finish plan."""

    def __init__(
        self,
        engine_count: int,
        slots: int,
        trainers: list[Trainer],
        slowness: Slowness,
        is_planned: bool,
        seed: int = 1,
        seconds: float = 40.0,
    ) -> None:
        self.trainers = {trainer.name: trainer for trainer in trainers}
        self._slowness = slowness
        self._seconds = seconds
        self._seed = seed
        self._noise = random.Random(seed + 1)
        self._pauses: dict[tuple[str, int], bool] = {}
        self.speeds = pace_estimator.PaceEstimator() if is_planned else None
        self._fleet = engines_module.EngineFleet(self.speeds)
        models = {name: 1 for name in self.trainers}
        self._fleet.update(
            items.make_target(f'e{number}', slots=slots, **models)
            for number in range(engine_count)
        )
        self._queue = queue_module.JobQueue()
        self._plan = None
        if is_planned:
            self._plan = planning.FinishPlan(self._queue, self._fleet)
        self._events_by_item: dict[str, int] = {}
        self._running: dict[queue_module.ItemRun, Running] = {}
        self._complete_at: dict[str, list[float]] = {}
        self._calls: list[tuple[float, int, Any, Any]] = []
        self._numbers = itertools.count()
        self.step_seconds: list[float] = []
        self.runs = 0

    def play(self) -> None:
        for trainer in self.trainers.values():
            self._call_at(0.0, self._submit, trainer)
            self._call_at(STEP_SECONDS, self._submit, trainer)
        self._call_at(0.0, self._move_runs, None)
        while self._calls and self._calls[0][0] < self._seconds:
            at, _, call, argument = heapq.heappop(self._calls)
            call(argument, Instant(at))

    def served(self, name: str) -> float:
        """Return the fraction of the wanted groups that were in time."""
        trainer = self.trainers[name]
        steps = int((self._seconds - DEADLINE_SECONDS) / STEP_SECONDS) + 1
        return trainer.in_time / (steps * trainer.wanted)

    def _call_at(self, at: float, call: Any, argument: Any) -> None:
        heapq.heappush(self._calls, (at, next(self._numbers), call, argument))

    def _submit(self, trainer: Trainer, now: Instant) -> None:
        step = len(trainer.submitted_at)
        trainer.submitted_at.append(now)
        groups = trainer.carried[: trainer.groups]
        trainer.carried = trainer.carried[trainer.groups :]
        name = f'{trainer.name}.{step}'
        while len(groups) < trainer.groups:
            groups.append(self._group(trainer, f'{name}-{len(groups)}'))
        job = msgspec.structs.replace(
            items.make_job(name, model=ModelName(trainer.name)),
            items=tuple(itertools.chain(*groups)),
            step=step,
            wanted_groups=trainer.wanted,
        )
        self._complete_at[name] = []
        state = items.make_state(job, now)
        for run in self._queue.add(state):
            self._finish(run, now)
        self._call_at(now + TIMEOUT_SECONDS, self._time_out, state)
        self._place_waiting(now)

    def _group(self, trainer: Trainer, name: str) -> list[Any]:
        hinted = []
        # Texts don't depend on earlier decisions.
        draw = random.Random(f'{self._seed} {name}')
        for item in items.make_job(name, groups=1, size=trainer.size).items:
            events = trainer.mean_events * draw.lognormvariate(-0.35, 0.84)
            if draw.random() < load_model.LONG_FRACTION:
                events *= load_model.LONG_FACTOR
            events = max(1.0, min(events, 7.0 * trainer.mean_events))
            self._events_by_item[item.id] = round(events)
            hint = events * draw.lognormvariate(0.0, load_model.HINT_DEVIATION)
            tokens = max(1, round(hint * load_model.TOKENS_PER_EVENT))
            hinted.append(msgspec.structs.replace(item, hinted_tokens=tokens))
        return hinted

    def _time_out(self, state: queue_module.JobState, now: Instant) -> None:
        if self._queue.jobs_by_id.get(state.job.id) is state:
            self._end_step(state, now)
            self._place_waiting(now)

    def _finish(self, run: queue_module.ItemRun, now: Instant) -> None:
        state = self._queue.jobs_by_id[run.job.id]
        if not state.end(run.item.id):
            return
        complete = self._complete_at[run.job.id]
        complete.append(now)
        if len(complete) >= state.job.wanted_groups:
            self._end_step(state, now)

    def _end_step(self, state: queue_module.JobState, now: Instant) -> None:
        trainer = self.trainers[str(state.job.model)]
        for run in [r for r in self._running if r.job is state.job]:
            self._stop(run)
        groups: dict[str, list[Any]] = {}
        for item in state.job.items:
            groups.setdefault(item.group, []).append(item)
        ended = queue_module.RunState.ENDED
        for group in groups.values():
            runs = [state.runs_by_id[item.id] for item in group]
            if any(run.state is not ended for run in runs):
                trainer.carried.append(group)
        self._queue.remove(state.job.id)
        submitted_at = trainer.submitted_at[state.job.step]
        if submitted_at + DEADLINE_SECONDS < self._seconds:
            trainer.in_time += sum(
                at <= submitted_at + DEADLINE_SECONDS
                for at in self._complete_at[state.job.id]
            )
            self.step_seconds.append(now - submitted_at)
        trainer.ended_at[state.job.step] = now + TRAINING_SECONDS
        step = len(trainer.submitted_at)
        self._call_at(
            max(now + TRAINING_SECONDS, step * STEP_SECONDS),
            self._submit,
            trainer,
        )

    def _move_runs(self, _: None, now: Instant) -> None:
        placer = engine_assignment.EngineAssigner(self._fleet, now)
        waiting = self._queue.count_waiting()
        for running in list(self._running.values()):
            if self._is_better_off(running, placer, waiting, now):
                waiting += 1
                placer.reserve_slot(running.run.job)
                self._stop(running.run)
                running.run.state = queue_module.RunState.WAITING
        self._place_waiting(now)
        self._call_at(now + MOVE_INTERVAL_SECONDS, self._move_runs, None)

    def _is_better_off(
        self,
        running: Running,
        placer: engine_assignment.EngineAssigner,
        waiting: int,
        now: Instant,
    ) -> bool:
        engine, run = running.engine, running.run
        if placer.free_slots(run.job, engine) <= waiting:
            return False
        if self._plan is not None and now - running.started_at > 0.25:
            return self._plan.is_better_off(run, engine, placer, now)
        return self._fleet.should_move(
            engine, run.job, running.started_at, running.last_at, now
        )

    def _place_waiting(self, now: Instant) -> None:
        if not self._fleet.has_free_slots(now):
            return
        pace = self._fleet.usual_pace(now) or EVENT_SECONDS
        placer = engine_assignment.EngineAssigner(self._fleet, now)
        waiting: Any = self._queue.waiting(pace)
        if self._plan is not None:
            waiting = self._plan.waiting(pace, now)
        for run in waiting:
            engine = placer.choose(run.job)
            if engine is None:
                return
            self._start(run, engine, now)

    def _start(
        self,
        run: queue_module.ItemRun,
        engine: engines_module.EngineState,
        now: Instant,
    ) -> None:
        self.runs += 1
        run.state = queue_module.RunState.RUNNING
        self._queue.jobs_by_id[run.job.id].begin(run)
        engine.runs_by_model[run.job.model] += 1
        running = Running(run=run, engine=engine, started_at=now, last_at=now)
        self._running[run] = running
        delay = RESUME_SECONDS if run.text.events else START_SECONDS
        self._call_at(
            now + delay + self._pace(engine, now), self._event, running
        )

    def _stop(self, run: queue_module.ItemRun) -> None:
        running = self._running.pop(run)
        running.is_stopped = True
        running.engine.runs_by_model[run.job.model] -= 1

    def _event(self, running: Running, now: Instant) -> None:
        if running.is_stopped:
            return
        run, engine = running.run, running.engine
        run.text.begin_run(run.job.min_version)
        run.text.add_event(load_model.event(run.text.events + 1))
        if running.has_event:
            gap = now - running.last_at
            engine.record_gap(gap, now)
            if self.speeds is not None:
                concurrent = engine.running - 1
                self.speeds.record_unit(engine.target.id, gap, concurrent, now)
        running.has_event = True
        running.last_at = now
        if run.text.events < self._events_by_item[run.item.id]:
            self._call_at(now + self._pace(engine, now), self._event, running)
            return
        self._stop(run)
        run.text.is_whole = True
        self._queue.lengths.learn(run.job.model, run.item, run.text.events)
        self._finish(run, now)
        self._place_waiting(now)

    def _pace(self, engine: engines_module.EngineState, now: float) -> float:
        name = engine.target.id
        number = int(name[1:])
        factor = PACE_FACTORS[number % len(PACE_FACTORS)]
        faults = self._slowness
        pause = (name, int(now / PAUSE_SECONDS))
        if pause not in self._pauses:
            self._pauses[pause] = self._noise.random() < faults.pause_fraction
        if self._pauses[pause]:
            factor *= PAUSE_FACTOR
        # Distribute the faulty engines over all speeds.
        is_faulty = (number * 0.618) % 1.0 < faults.faulty_fraction
        if is_faulty and faults.fault_starts_at <= now < faults.fault_ends_at:
            factor *= faults.faulty_factor
        return EVENT_SECONDS * factor * (1.0 + SLOWDOWN * (engine.running - 1))
