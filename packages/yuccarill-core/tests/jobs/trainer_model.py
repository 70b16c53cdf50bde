"""Play trainers that wait for their steps, on engines of unlike speed.

Figures are those of the deployments: a step each 4 s, the next one asked
before the last has ended; nine tenths of its groups are waited for, 12 s at
most; a group counts if it is whole 7.9 s after it was asked. Texts differ as
lognormal lengths do, one in twelve is five times as long. Engines take 0.6,
1 or 1.6 times the usual time, and 3% more for each further run; a busy one
takes 2.5 times as long for moments of 0.6 s.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import placing
from yuccarill.core.jobs import planning
from yuccarill.core.speeds import book

from . import items
from . import load_model

GAP = 0.041
STEP_SECONDS = 4.0
IN_TIME = 7.9
PATIENCE = 12.0
TRAINING = 1.0
WANTED_PART = 0.9
SPEEDS = (0.6, 1.0, 1.6)
SLOPE = 0.03
MOMENT = 0.6
MOMENT_TIMES = 2.5
SURVEY_SECONDS = 0.1
# Seconds before the first event of a run, and of one that goes on.
START_SECONDS = 0.02
RESUME_SECONDS = 0.15


class Trainer(msgspec.Struct, kw_only=True):
    """Describe one trainer, and hold what it got."""

    name: str
    groups: int
    size: int
    mean_events: float = 15.0
    asked_at: list[float] = []
    ended_at: dict[int, float] = {}
    carried: list[list[Any]] = []
    in_time: int = 0

    @property
    def wanted(self) -> int:
        return round(WANTED_PART * self.groups)


class Slowness(msgspec.Struct, frozen=True, kw_only=True):
    """Say what is wrong with engines, and from when to when."""

    moments_part: float = 0.0
    faulty_part: float = 0.0
    faulty_times: float = 1.0
    begins_at: float = 8.0
    ends_at: float = 24.0


class Running(msgspec.Struct, kw_only=True, eq=False):
    """Hold one text that an engine makes."""

    run: board_module.ItemRun
    engine: engines_module.EngineState
    started_at: Instant
    last_at: Instant
    has_event: bool = False
    is_gone: bool = False


class TrainerModel:
    """Run trainers' steps with or without plans by finishing time."""

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
        self._moments: dict[tuple[str, int], bool] = {}
        self.speeds = book.LogPaceBook() if is_planned else None
        self._fleet = engines_module.EngineFleet(self.speeds)
        models = {name: 1 for name in self.trainers}
        self._fleet.update(
            items.make_target(f'e{number}', slots=slots, **models)
            for number in range(engine_count)
        )
        self._board = board_module.JobBoard()
        self._plan = None
        if is_planned:
            self._plan = planning.FinishPlan(self._board, self._fleet)
        self._events_by_item: dict[str, int] = {}
        self._running: dict[board_module.ItemRun, Running] = {}
        self._whole_at: dict[str, list[float]] = {}
        self._queue: list[tuple[float, int, Any, Any]] = []
        self._numbers = itertools.count()
        self.step_seconds: list[float] = []
        self.runs = 0

    def play(self) -> None:
        for trainer in self.trainers.values():
            self._at(0.0, self._ask, trainer)
            self._at(STEP_SECONDS, self._ask, trainer)
        self._at(0.0, self._survey, None)
        while self._queue and self._queue[0][0] < self._seconds:
            at, _, call, what = heapq.heappop(self._queue)
            call(what, Instant(at))

    def served(self, name: str) -> float:
        """Return the part of the groups in time of all that were due."""
        trainer = self.trainers[name]
        steps = int((self._seconds - IN_TIME) / STEP_SECONDS) + 1
        return trainer.in_time / (steps * trainer.wanted)

    def _at(self, at: float, call: Any, what: Any) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), call, what))

    def _ask(self, trainer: Trainer, now: Instant) -> None:
        step = len(trainer.asked_at)
        trainer.asked_at.append(now)
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
        self._whole_at[name] = []
        state = items.make_state(job, now)
        for run in self._board.add(state):
            self._finish(run, now)
        self._at(now + PATIENCE, self._give_up, state)
        self._pump(now)

    def _group(self, trainer: Trainer, name: str) -> list[Any]:
        found = []
        # The same texts, whatever was decided before.
        draw = random.Random(f'{self._seed} {name}')
        for item in items.make_job(name, groups=1, size=trainer.size).items:
            events = trainer.mean_events * draw.lognormvariate(-0.35, 0.84)
            if draw.random() < load_model.LONG_PART:
                events *= load_model.LONG_TIMES
            events = max(1.0, min(events, 7.0 * trainer.mean_events))
            self._events_by_item[item.id] = round(events)
            hint = events * draw.lognormvariate(0.0, load_model.HINT_SPREAD)
            tokens = max(1, round(hint * load_model.TOKENS_AN_EVENT))
            found.append(msgspec.structs.replace(item, hinted_tokens=tokens))
        return found

    def _give_up(self, state: board_module.JobState, now: Instant) -> None:
        if self._board.jobs_by_id.get(state.job.id) is state:
            self._end_step(state, now)
            self._pump(now)

    def _finish(self, run: board_module.ItemRun, now: Instant) -> None:
        state = self._board.jobs_by_id[run.job.id]
        if not state.end(run.item.id):
            return
        whole = self._whole_at[run.job.id]
        whole.append(now)
        if len(whole) >= state.job.wanted_groups:
            self._end_step(state, now)

    def _end_step(self, state: board_module.JobState, now: Instant) -> None:
        trainer = self.trainers[str(state.job.model)]
        for run in [r for r in self._running if r.job is state.job]:
            self._drop(run)
        groups: dict[str, list[Any]] = {}
        for item in state.job.items:
            groups.setdefault(item.group, []).append(item)
        ended = board_module.RunState.ENDED
        for group in groups.values():
            runs = [state.runs_by_id[item.id] for item in group]
            if any(run.state is not ended for run in runs):
                trainer.carried.append(group)
        self._board.remove(state.job.id)
        asked_at = trainer.asked_at[state.job.step]
        if asked_at + IN_TIME < self._seconds:
            trainer.in_time += sum(
                at <= asked_at + IN_TIME for at in self._whole_at[state.job.id]
            )
            self.step_seconds.append(now - asked_at)
        trainer.ended_at[state.job.step] = now + TRAINING
        step = len(trainer.asked_at)
        self._at(max(now + TRAINING, step * STEP_SECONDS), self._ask, trainer)

    def _survey(self, _: None, now: Instant) -> None:
        places = placing.Placing(self._fleet, now)
        waiting = self._board.count_waiting()
        for running in list(self._running.values()):
            if self._is_better_off(running, places, waiting, now):
                waiting += 1
                places.moved(running.run.job)
                self._drop(running.run)
                running.run.state = board_module.RunState.WAITING
        self._pump(now)
        self._at(now + SURVEY_SECONDS, self._survey, None)

    def _is_better_off(
        self,
        running: Running,
        places: placing.Placing,
        waiting: int,
        now: Instant,
    ) -> bool:
        engine, run = running.engine, running.run
        if places.free_places(run.job, engine) <= waiting:
            return False
        if self._plan is not None and now - running.started_at > 0.25:
            return self._plan.is_better_off(run, engine, places, now)
        return self._fleet.is_held_up(
            engine, run.job, running.started_at, running.last_at, now
        )

    def _pump(self, now: Instant) -> None:
        if not self._fleet.has_places(now):
            return
        pace = self._fleet.usual_pace(now) or GAP
        places = placing.Placing(self._fleet, now)
        waiting: Any = self._board.waiting(pace)
        if self._plan is not None:
            waiting = self._plan.waiting(pace, now)
        for run in waiting:
            engine = places.choose(run.job)
            if engine is None:
                return
            self._start(run, engine, now)

    def _start(
        self,
        run: board_module.ItemRun,
        engine: engines_module.EngineState,
        now: Instant,
    ) -> None:
        self.runs += 1
        run.state = board_module.RunState.RUNNING
        self._board.jobs_by_id[run.job.id].begin(run)
        engine.runs_by_model[run.job.model] += 1
        running = Running(run=run, engine=engine, started_at=now, last_at=now)
        self._running[run] = running
        first = RESUME_SECONDS if run.text.events else START_SECONDS
        self._at(now + first + self._pace(engine, now), self._event, running)

    def _drop(self, run: board_module.ItemRun) -> None:
        running = self._running.pop(run)
        running.is_gone = True
        running.engine.runs_by_model[run.job.model] -= 1

    def _event(self, running: Running, now: Instant) -> None:
        if running.is_gone:
            return
        run, engine = running.run, running.engine
        run.text.begin_run(run.job.min_version)
        run.text.take(load_model.event(run.text.events + 1))
        if running.has_event:
            gap = now - running.last_at
            engine.saw_gap(gap, now)
            if self.speeds is not None:
                beside = engine.running - 1
                self.speeds.saw(engine.target.id, gap, beside, now)
        running.has_event = True
        running.last_at = now
        if run.text.events < self._events_by_item[run.item.id]:
            self._at(now + self._pace(engine, now), self._event, running)
            return
        self._drop(run)
        run.text.is_whole = True
        self._board.lengths.learn(run.job.model, run.item, run.text.events)
        self._finish(run, now)
        self._pump(now)

    def _pace(self, engine: engines_module.EngineState, now: float) -> float:
        name = engine.target.id
        number = int(name[1:])
        times = SPEEDS[number % len(SPEEDS)]
        bad = self._slowness
        moment = (name, int(now / MOMENT))
        if moment not in self._moments:
            self._moments[moment] = self._noise.random() < bad.moments_part
        if self._moments[moment]:
            times *= MOMENT_TIMES
        # Spread over all kinds of engines.
        is_faulty = (number * 0.618) % 1.0 < bad.faulty_part
        if is_faulty and bad.begins_at <= now < bad.ends_at:
            times *= bad.faulty_times
        return GAP * times * (1.0 + SLOPE * (engine.running - 1))
