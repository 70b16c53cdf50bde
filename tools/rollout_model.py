"""Simulate engines, trainers and faults on a fake clock."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
from typing import TYPE_CHECKING

from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 6
ENGINES = 1300
TRAINERS = 7
SAMPLES = 8192
GROUP_SIZE = 8
TOKENS_PER_SECOND = 160.0
MEAN_TOKENS = 1100.0
SIGMA = 1.0
MAX_TOKENS = 16384
PREFILL_SECONDS = 0.5
TRAIN_SECONDS = 240.0
SWAP_SECONDS = 14.0
MAX_LAG = 1
REPAIR_SECONDS = 120.0
# Detection delay of the half of crashes seen only as a stalled stream.
STALL_SECONDS = 5.0
SLOW_SHARE = 0.01
SLOWDOWN = 5.0
SCORE_SECONDS = 0.1
STEPS = 6


@dataclasses.dataclass(frozen=True)
class Size:
    """Set the scale of the simulation and its faults."""

    scale: int
    crashes_per_hour: float = 0.0
    slow_part: float = 0.0
    train_seconds: float = TRAIN_SECONDS

    @property
    def engines(self) -> int:
        return ENGINES // self.scale

    @property
    def samples(self) -> int:
        return SAMPLES // self.scale


class Loop:
    """Run scheduled events in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, seconds: float, event: Callable[[], None]) -> None:
        """Run an event after a delay in seconds."""
        when = self.now + seconds
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self, is_done: Callable[[], bool]) -> None:
        """Run events until is_done() holds."""
        while self._events and not is_done():
            self.now, _, event = heapq.heappop(self._events)
            event()


class Lengths:
    """Draw the length of each sample once, the same for every policy."""

    def __init__(self, size: Size) -> None:
        self._size = size
        self._lengths_by_step: dict[tuple[int, int], list[int]] = {}

    def of_step(self, trainer: int, step: int) -> list[int]:
        """Return the tokens of each sample of a step."""
        key = (trainer, step)
        if key not in self._lengths_by_step:
            source = random.Random(f'{SEED}/{trainer}/{step}')
            mu = math.log(MEAN_TOKENS) - SIGMA**2 / 2
            self._lengths_by_step[key] = [
                max(1, min(MAX_TOKENS, int(source.lognormvariate(mu, SIGMA))))
                for _ in range(self._size.samples)
            ]
        return self._lengths_by_step[key]


class Fleet:
    """Simulate engines, their faults and the weights that they serve."""

    def __init__(self, loop: Loop, size: Size) -> None:
        self.loop = loop
        self._random = random.Random(SEED)
        self._crashes = size.crashes_per_hour * size.engines / 3600
        self.names = [TargetId(f'e{n}') for n in range(size.engines)]
        self._down_until = dict.fromkeys(self.names, 0.0)
        slow = round(size.slow_part * size.engines)
        self._slow = set(self._random.sample(self.names, slow))
        self._switch_delay = {
            name: self._random.uniform(0, SWAP_SECONDS) for name in self.names
        }
        self._announced: dict[TrainerId, list[float]] = {}
        self._prompts: dict[TargetId, collections.deque[str]] = {
            name: collections.deque(maxlen=4) for name in self.names
        }
        self.crashed = 0
        # Called with the engine and the seconds until the crash is detected.
        self.on_crash: Callable[[TargetId, float], None] = lambda e, s: None
        if self._crashes:
            self._schedule_crash()

    def rate(self, engine: TargetId) -> float:
        """Return the tokens per second of an engine."""
        return TOKENS_PER_SECOND / (SLOWDOWN if engine in self._slow else 1)

    def seconds_to_repair(self, engine: TargetId) -> float:
        """Return the seconds until a crashed engine is repaired, or 0."""
        return max(0.0, self._down_until[engine] - self.loop.now)

    def announce(self, trainer: TrainerId) -> None:
        """Start the switch of all engines to the next weight version."""
        self._announced.setdefault(trainer, []).append(self.loop.now)

    def version(self, trainer: TrainerId, engine: TargetId) -> WeightVersion:
        """Return the version that an engine serves now."""
        cutoff = self.loop.now - self._switch_delay[engine]
        announced = self._announced.get(trainer, ())
        return WeightVersion(1 + sum(when <= cutoff for when in announced))

    def prefill(self, engine: TargetId, prompt: str) -> float:
        """Cache a prompt on an engine and return its prefill seconds."""
        cached = self._prompts[engine]
        if prompt in cached:
            return 0.0
        cached.append(prompt)
        return PREFILL_SECONDS

    def _schedule_crash(self) -> None:
        wait = self._random.expovariate(self._crashes)
        self.loop.schedule(wait, self._crash)

    def _crash(self) -> None:
        engine = self._random.choice(self.names)
        self.crashed += 1
        self._down_until[engine] = self.loop.now + REPAIR_SECONDS
        self._prompts[engine].clear()
        self.on_crash(engine, self._random.choice((0.0, STALL_SECONDS)))
        self._schedule_crash()


class TrainerModel:
    """Simulate a trainer that submits steps ahead and trains in order."""

    def __init__(
        self, index: int, loop: Loop, size: Size, steps_ahead: int
    ) -> None:
        self.index = index
        self.id = TrainerId(f't{index}')
        self._loop = loop
        self._size = size
        self._ahead = steps_ahead
        self.newest = WeightVersion(1)
        self.submitted = 0
        self.step = 1
        self.is_waiting = True
        self._waiting_since = 0.0
        # Excludes the first step, for which every policy waits.
        self.idle = 0.0
        self._measured_from = 0.0
        self.lags: collections.Counter[int] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()

    @property
    def is_done(self) -> bool:
        return self.step > STEPS

    @property
    def total(self) -> float:
        return self.ended_at - self._measured_from

    ended_at = 0.0

    def due_steps(self) -> list[int]:
        """Return the steps to submit now."""
        # Includes steps after the measured ones, to keep engines loaded.
        last = self.step + self._ahead
        steps = list(range(self.submitted + 1, last + 1))
        self.submitted = max(self.submitted, last)
        return steps

    def receive(
        self, lags: list[int], names: list[str], trained: Callable[[], None]
    ) -> None:
        """Accept the awaited step and train on it."""
        now = self._loop.now
        self.is_waiting = False
        if self.step == 1:
            self._measured_from = now
        elif not self.is_done:
            self.idle += now - self._waiting_since
        if not self.is_done:
            self.lags.update(lags)
            self.received.update(names)
        self._loop.schedule(
            self._size.train_seconds, lambda: self._trained(trained)
        )

    def _trained(self, trained: Callable[[], None]) -> None:
        self.newest = WeightVersion(self.newest + 1)
        self.step += 1
        self.is_waiting = True
        self._waiting_since = self._loop.now
        if self.step == STEPS + 1:
            self.ended_at = self._loop.now
        trained()


def bound_idle(size: Size, lengths: Lengths) -> float:
    """Return the least possible idle share of the trainers."""
    tokens = sum(
        sum(lengths.of_step(trainer, step))
        for trainer in range(TRAINERS)
        for step in range(2, STEPS + 1)
    )
    seconds = tokens / (STEPS - 1) / (size.engines * TOKENS_PER_SECOND)
    return max(0.0, 1 - size.train_seconds / seconds)
