"""Simulate targets and load on a fake clock to compare call policies."""

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

SERVICE_TIME_SIGMA = 0.4
DEADLINE_SECONDS = {CallerClass.LATENCY: 10.0, CallerClass.INTERNAL: 60.0}
LATENCY_SHARE = 0.3
LOCAL_DELAY_SECONDS = 0.001
REMOTE_DELAY_SECONDS = 0.005


class Scenario(enum.Enum):
    """List the faults that a run can inject."""

    NONE = 'no fault'
    SLOW = '5% of targets 5 times slower'
    CRASHED = '10% of targets crashed'
    FROZEN = '3% of targets frozen'
    LAGGING = 'reports 5 s late'
    OVERLOAD = 'load of twice the capacity'


class Loop:
    """Run scheduled events in order of time."""

    def __init__(self) -> None:
        self.now = Instant(0.0)
        self._events: list[Any] = []
        self._numbers = itertools.count()

    def schedule(
        self, delay: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a function after a delay in seconds."""
        entry = (self.now + delay, next(self._numbers), callback, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run all events up to the given time."""
        while self._events and self._events[0][0] <= until:
            instant, _, callback, arguments = heapq.heappop(self._events)
            self.now = Instant(instant)
            callback(*arguments)


@dataclasses.dataclass(frozen=True)
class Size:
    """Set the size of the simulated system."""

    targets: int = 1300
    instances: int = 22
    data_centres: int = 11
    slots: int = 2
    service_seconds: float = 2.4
    request_rate: float = 760.0
    has_priorities: bool = True

    @property
    def capacity(self) -> float:
        return self.targets * self.slots / self.service_seconds


@dataclasses.dataclass(eq=False)
class Request:
    """Record one request and its outcome."""

    started_at: float
    caller_class: CallerClass
    service_seconds: float
    instance: int
    ended_at: float | None = None
    is_answered: bool = False

    @property
    def deadline(self) -> Instant:
        return Instant(self.started_at + DEADLINE_SECONDS[self.caller_class])

    @property
    def is_good(self) -> bool:
        return self.is_answered and self.ended_at <= self.deadline

    @property
    def is_refused_in_time(self) -> bool:
        return (
            self.ended_at is not None
            and not self.is_answered
            and self.ended_at < self.deadline
        )


class Target:
    """Serve some calls at once and queue the rest."""

    def __init__(self, loop: Loop, size: Size, data_centre: int) -> None:
        self.data_centre = data_centre
        self.slowness = 1.0
        self.is_crashed = False
        self.is_frozen = False
        self.report_lag = 0.0
        self._loop = loop
        self._slots = size.slots
        self._busy = 0
        # Engines serve by priority, other targets in order of arrival.
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
        """Accept a call; reply with a load report, or None on failure."""
        if self.is_crashed:
            reply(None)
        elif self.is_frozen:
            pass
        elif self._busy < self._slots:
            self._begin(seconds, reply)
        else:
            is_internal = caller_class is CallerClass.INTERNAL
            rank = is_internal and self._has_priorities
            entry = (rank, next(self._numbers), seconds, reply)
            heapq.heappush(self._queue, entry)
        self._record_load()

    def crash(self) -> None:
        """Fail all calls and refuse new ones."""
        self.is_crashed = True
        for entry in self._queue:
            entry[-1](None)
        self._queue.clear()

    def _begin(self, seconds: float, reply: Callable[..., None]) -> None:
        self._busy += 1
        self._loop.schedule(seconds * self.slowness, self._end, reply)

    def _end(self, reply: Callable[..., None]) -> None:
        self._busy -= 1
        if self._queue and not self.is_frozen and not self.is_crashed:
            self._begin(*heapq.heappop(self._queue)[2:])
        self._record_load()
        if self.is_crashed:
            reply(None)
        elif not self.is_frozen:
            reply(self._report())

    def _record_load(self) -> None:
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
    """Hold the targets and send them an open-loop load."""

    def __init__(self, size: Size, scenario: Scenario, seed: int) -> None:
        self.size = size
        self.scenario = scenario
        self.loop = Loop()
        self.generator = random.Random(seed)
        self.requests: list[Request] = []
        self.targets = [
            Target(self.loop, size, n % size.data_centres)
            for n in range(size.targets)
        ]
        self.request_rate = size.request_rate
        if scenario is Scenario.LAGGING:
            for target in self.targets:
                target.report_lag = 5.0

    def run(self, policy: Any, begin: float, end: float, until: float) -> None:
        """Send load until a time, with the fault from begin to end."""
        self.loop.schedule(0.0, self._arrive, policy, until)
        self.loop.schedule(begin, self._inject_fault)
        self.loop.schedule(end, self._clear_fault)
        self.loop.run(until + max(DEADLINE_SECONDS.values()) + 5.0)

    def delay(self, instance: int, target: Target) -> float:
        """Return the one-way network delay in seconds."""
        is_local = instance % self.size.data_centres == target.data_centre
        return LOCAL_DELAY_SECONDS if is_local else REMOTE_DELAY_SECONDS

    def _arrive(self, policy: Any, until: float) -> None:
        now = self.loop.now
        if now >= until:
            return
        draw = self.generator
        is_latency = draw.random() < LATENCY_SHARE
        mean = math.log(self.size.service_seconds) - SERVICE_TIME_SIGMA**2 / 2
        request = Request(
            now,
            CallerClass.LATENCY if is_latency else CallerClass.INTERNAL,
            draw.lognormvariate(mean, SERVICE_TIME_SIGMA),
            draw.randrange(self.size.instances),
        )
        self.requests.append(request)
        self.loop.schedule(
            draw.expovariate(self.request_rate), self._arrive, policy, until
        )
        policy.arrive(request)

    def _inject_fault(self) -> None:
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
                self.request_rate = 2.0 * self.size.capacity

    def _clear_fault(self) -> None:
        self.request_rate = self.size.request_rate
        for target in self.targets:
            target.slowness = 1.0
            target.is_crashed = False
            target.is_frozen = False
