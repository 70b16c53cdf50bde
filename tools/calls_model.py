"""Model targets and load for measuring policies with a fake clock."""

from __future__ import annotations

import collections
import dataclasses
import enum
import heapq
import itertools
import math
import random
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.calls.load import LoadReport
from yuccarill.core.config.inventory import CallerClass
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Callable

SIGMA = 0.4
DEADLINES = {CallerClass.LATENCY: 10.0, CallerClass.INTERNAL: 60.0}
LATENCY_PART = 0.3
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.005


class Scenario(enum.Enum):
    """Name what goes wrong between two instants of a run."""

    NONE = 'no fault'
    SLOW = '5% of targets 5 times slower'
    CRASHED = '10% of targets crashed'
    FROZEN = '3% of targets frozen'
    LAGGING = 'reports 5 s late'
    OVERLOAD = 'load of twice the capacity'


class Loop:
    """Run events in the order of their instants."""

    def __init__(self) -> None:
        self.now = Instant(0.0)
        self._events: list[Any] = []
        self._numbers = itertools.count()

    def at(self, seconds: float, act: Callable[..., None], *a: Any) -> None:
        """Run a function some seconds from now."""
        entry = (self.now + seconds, next(self._numbers), act, a)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run all events up to an instant."""
        while self._events and self._events[0][0] <= until:
            instant, _, act, arguments = heapq.heappop(self._events)
            self.now = Instant(instant)
            act(*arguments)


@dataclasses.dataclass(frozen=True)
class Size:
    """Set how much of everything there is."""

    targets: int = 1300
    instances: int = 22
    centres: int = 11
    slots: int = 2
    seconds: float = 2.4
    load: float = 760.0
    has_priorities: bool = True

    @property
    def capacity(self) -> float:
        return self.targets * self.slots / self.seconds


@dataclasses.dataclass(eq=False)
class Request:
    """Hold one request and how it ended."""

    begun: float
    caller_class: CallerClass
    seconds: float
    instance: int
    ended: float | None = None
    answered: bool = False

    @property
    def deadline(self) -> Instant:
        return Instant(self.begun + DEADLINES[self.caller_class])

    @property
    def is_good(self) -> bool:
        return self.answered and self.ended <= self.deadline

    @property
    def is_refused_in_time(self) -> bool:
        return (
            self.ended is not None
            and not self.answered
            and self.ended < self.deadline
        )


class Target:
    """Serve some calls at once and queue the rest."""

    def __init__(self, loop: Loop, size: Size, centre: int) -> None:
        self.centre = centre
        self.slowness = 1.0
        self.is_crashed = False
        self.is_frozen = False
        self.report_lag = 0.0
        self._loop = loop
        self._slots = size.slots
        self._busy = 0
        # Engines honour priorities; plain targets serve in order.
        self._queue: list[Any] = []
        self._numbers = itertools.count()
        self._has_priorities = size.has_priorities
        self._history: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)])
        )

    def arrive(
        self,
        seconds: float,
        caller_class: CallerClass,
        reply: Callable[[LoadReport | None], None],
    ) -> None:
        """Take a call; reply with a report, or none if it is refused."""
        if self.is_crashed:
            reply(None)
        elif self.is_frozen:
            pass
        elif self._busy < self._slots:
            self._begin(seconds, reply)
        else:
            is_later = caller_class is CallerClass.INTERNAL
            rank = is_later and self._has_priorities
            entry = (rank, next(self._numbers), seconds, reply)
            heapq.heappush(self._queue, entry)
        self._note()

    def crash(self) -> None:
        """Drop all calls and refuse new ones."""
        self.is_crashed = True
        for entry in self._queue:
            entry[-1](None)
        self._queue.clear()

    def _begin(self, seconds: float, reply: Callable[..., None]) -> None:
        self._busy += 1
        self._loop.at(seconds * self.slowness, self._end, reply)

    def _end(self, reply: Callable[..., None]) -> None:
        self._busy -= 1
        if self._queue and not self.is_frozen and not self.is_crashed:
            self._begin(*heapq.heappop(self._queue)[2:])
        self._note()
        if self.is_crashed:
            reply(None)
        elif not self.is_frozen:
            reply(self._report())

    def _note(self) -> None:
        entry = (self._loop.now, self._busy, len(self._queue))
        self._history.append(entry)
        while (
            len(self._history) > 1
            and self._history[1][0] <= self._loop.now - self.report_lag
        ):
            self._history.popleft()

    def _report(self) -> LoadReport:
        _, busy, queued = self._history[0]
        return LoadReport(busy, queued)


class World:
    """Hold the targets and send the load, open loop."""

    def __init__(self, size: Size, scenario: Scenario, seed: int) -> None:
        self.size = size
        self.scenario = scenario
        self.loop = Loop()
        self.generator = random.Random(seed)
        self.requests: list[Request] = []
        self.targets = [
            Target(self.loop, size, n % size.centres)
            for n in range(size.targets)
        ]
        self.load = size.load
        if scenario is Scenario.LAGGING:
            for target in self.targets:
                target.report_lag = 5.0

    def run(self, policy: Any, begin: float, end: float, until: float) -> None:
        """Send load until an instant, with the fault in between."""
        self.loop.at(0.0, self._arrive, policy, until)
        self.loop.at(begin, self._break)
        self.loop.at(end, self._mend)
        self.loop.run(until + max(DEADLINES.values()) + 5.0)

    def delay(self, instance: int, target: Target) -> float:
        """Return the seconds on the way, one way."""
        near = instance % self.size.centres == target.centre
        return NEAR_SECONDS if near else FAR_SECONDS

    def _arrive(self, policy: Any, until: float) -> None:
        now = self.loop.now
        if now >= until:
            return
        draw = self.generator
        is_latency = draw.random() < LATENCY_PART
        mean = math.log(self.size.seconds) - SIGMA**2 / 2
        request = Request(
            now,
            CallerClass.LATENCY if is_latency else CallerClass.INTERNAL,
            draw.lognormvariate(mean, SIGMA),
            draw.randrange(self.size.instances),
        )
        self.requests.append(request)
        self.loop.at(draw.expovariate(self.load), self._arrive, policy, until)
        policy.arrive(request)

    def _break(self) -> None:
        match self.scenario:
            case Scenario.SLOW:
                for target in self.targets[::20]:
                    target.slowness = 5.0
            case Scenario.CRASHED:
                for target in self.targets[::10]:
                    target.crash()
            case Scenario.FROZEN:
                for target in self.targets[::33]:
                    target.is_frozen = True
            case Scenario.OVERLOAD:
                self.load = 2.0 * self.size.capacity

    def _mend(self) -> None:
        self.load = self.size.load
        for target in self.targets:
            target.slowness = 1.0
            target.is_crashed = False
            target.is_frozen = False
