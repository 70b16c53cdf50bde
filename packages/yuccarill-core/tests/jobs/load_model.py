"""Simulate a trainer's steps on engines, with a clock and no network.

Texts have exponential lengths, one in twelve is five times as long. A trainer
waits for nine tenths of its groups. Hints have a lognormal error.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engine_assignment
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.core.jobs import text

from . import items

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from yuccarill.core.ids import TargetId

TICK_SECONDS = 0.01
EVENT_SECONDS = 0.038
LONG_FRACTION = 0.08
LONG_FACTOR = 5
WANTED_FRACTION = 0.9
TOKENS_PER_EVENT = 64
# Standard deviation of the logarithm of hints.
HINT_DEVIATION = 0.48


def event(number: int) -> text.StreamEvent:
    return text.StreamEvent(number=number, data='x')


@dataclasses.dataclass
class Running:
    """Track one text that an engine generates."""

    run: queue_module.ItemRun
    engine: engines_module.EngineState
    started_at: Instant
    last_at: Instant
    next_at: float


class Model:
    """Run steps with the decisions of `yuccarill.core` or naive ones."""

    def __init__(
        self,
        engine_count: int,
        slots: int,
        slowness: Callable[[TargetId, float], float],
        is_naive: bool,
        seed: int = 1,
        mean_events: int = 11,
        max_events: int = 10_000,
    ) -> None:
        self._fleet = items.make_fleet(
            *(
                items.make_target(f'e{n}', slots=slots)
                for n in range(engine_count)
            )
        )
        self._slowness = slowness
        self._is_naive = is_naive
        self._random = random.Random(seed)
        self._hint_random = random.Random(seed)
        self._mean_events = mean_events
        self._max_events = max_events
        self._queue = queue_module.JobQueue()
        self._events_by_item: dict[str, int] = {}
        self._generated_by_item: dict[str, int] = {}
        self._running: list[Running] = []
        self._finished_by_group: dict[str, float] = {}
        self.runs = 0

    def play(self, jobs: Mapping[float, int], size: int) -> list[float]:
        """Submit jobs, given as the number of groups by time.

        Returns for each the seconds until the wanted groups are complete.
        """
        arrivals = sorted(jobs.items())
        now = 0.0
        while arrivals or self._queue.jobs_by_id:
            while arrivals and arrivals[0][0] <= now:
                at, groups = arrivals.pop(0)
                self._submit(f'j{at}', groups, size, at)
            self._tick(Instant(now))
            now += TICK_SECONDS
            if now > 120.0:
                break
        return [self._seconds(at, groups) for at, groups in jobs.items()]

    def _submit(self, name: str, groups: int, size: int, at: float) -> None:
        job = items.make_job(name, groups=groups, size=size)
        hinted = []
        for item in job.items:
            events = self._length()
            self._events_by_item[item.id] = events
            self._generated_by_item[item.id] = 0
            hint = events * self._hint_random.lognormvariate(
                0.0, HINT_DEVIATION
            )
            hinted.append(
                msgspec.structs.replace(
                    item, hinted_tokens=round(hint * TOKENS_PER_EVENT)
                )
            )
        job = msgspec.structs.replace(job, items=tuple(hinted))
        self._queue.add(items.make_state(job, at))

    def _length(self) -> int:
        events = 1 + int(self._random.expovariate(1.0 / self._mean_events))
        if self._random.random() < LONG_FRACTION:
            events *= LONG_FACTOR
        return min(events, self._max_events)

    def _tick(self, now: Instant) -> None:
        for running in list(self._running):
            self._advance(running, now)
        if not self._is_naive:
            self._move(now)
        for run in self._waiting():
            engine = self._choose(run, now)
            if engine is not None:
                self._start(run, engine, now)

    def _waiting(self) -> list[queue_module.ItemRun]:
        if not self._is_naive:
            return self._queue.waiting(EVENT_SECONDS)
        return [
            run
            for state in self._queue.jobs_by_id.values()
            for run in state.waiting()
        ]

    def _choose(
        self, run: queue_module.ItemRun, now: Instant
    ) -> engines_module.EngineState | None:
        if not self._is_naive:
            return self._fleet.choose(run.job, now)
        free = [
            engine
            for engine in self._fleet.engines_by_id.values()
            if engine.running < engine.target.slots
        ]
        return min(free, key=lambda e: e.running, default=None)

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
        slowness = self._slowness(engine.target.id, now)
        self._running.append(
            Running(run, engine, now, now, now + EVENT_SECONDS * slowness)
        )

    def _advance(self, running: Running, now: Instant) -> None:
        if now < running.next_at:
            return
        item = running.run.item
        self._generated_by_item[item.id] += 1
        if running.last_at > running.started_at:
            running.engine.record_gap(now - running.last_at, now)
        running.last_at = now
        slowness = self._slowness(running.engine.target.id, now)
        running.next_at = now + EVENT_SECONDS * slowness
        if self._generated_by_item[item.id] >= self._events_by_item[item.id]:
            self._end(running)
            self._queue.lengths.learn(
                running.run.job.model, item, self._events_by_item[item.id]
            )
            state = self._queue.jobs_by_id[running.run.job.id]
            if state.end(item.id):
                self._finished_by_group[item.group] = now
            if state.is_finished:
                self._queue.remove(state.job.id)

    def _end(self, running: Running) -> None:
        self._running.remove(running)
        running.engine.runs_by_model[running.run.job.model] -= 1

    def _move(self, now: Instant) -> None:
        waiting = self._queue.count_waiting()
        for running in list(self._running):
            engine, job = running.engine, running.run.job
            if not self._fleet.should_move(
                engine, job, running.started_at, running.last_at, now
            ):
                continue
            assigner = engine_assignment.EngineAssigner(self._fleet, now)
            if assigner.free_slots(job, engine) <= waiting:
                continue
            waiting += 1
            if self._fleet.is_silent(running.last_at, now):
                engine.fail(now)
            self._end(running)
            running.run.state = queue_module.RunState.WAITING

    def _seconds(self, at: float, groups: int) -> float:
        finished = sorted(
            self._finished_by_group.get(f'j{at}-{group}', 999.0)
            for group in range(groups)
        )
        wanted = max(1, int(WANTED_FRACTION * groups))
        return finished[wanted - 1] - at
