"""Simulate engines, a store and instances that run batch jobs."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway import routes
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import Instant
from yuccarill.core.ids import Revision
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import GroupId
from yuccarill.core.jobs.job import Item
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs.text import StreamEvent
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.daemon.gateway.jobs import runner as runner_module
from yuccarill.daemon.gateway.quarantine import detector
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import watched_calls
from yuccarill.platform import calls
from yuccarill.platform import engines as wire_engines
from yuccarill.platform import keys

from . import memory_store
from . import test_listing
from . import world

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from yuccarill.core.jobs.partial_text import PartialText
from yuccarill.core.jobs.placement import Placement

EVENT_SECONDS = 0.04
EVENTS = 10
# Time from the start of a crashing item to the crash, and until the restart.
CRASH_SECONDS = 0.08
RESTART_SECONDS = 3.0


@dataclasses.dataclass
class Engine:
    """Hold the state of a simulated engine, and the faults to inject."""

    target: ListedTarget
    gap: float = EVENT_SECONDS
    is_silent: bool = False
    # Number of events after which each run breaks off; 0 for never.
    breaks_after: int = 0
    status: int = 200
    version: int = 1
    # Start time in the engine's reports; None if it reports none.
    started_at: int | None = None
    # Counts of accepted and of received orders.
    orders: int = 0
    orders_received: int = 0
    order_epochs: list[int] = dataclasses.field(default_factory=list)
    # Number of crashes, and when the engine listens again.
    ends: int = 0
    down_until: float = 0.0


@dataclasses.dataclass
class Engines:
    """Simulate engines that generate texts and receive version orders."""

    clock: task.Clock
    engines_by_id: dict[TargetId, Engine]
    # Started runs: the item and the event after which the run started.
    runs: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    # Engines and start times of the started runs.
    places: list[TargetId] = dataclasses.field(default_factory=list)
    run_times: list[float] = dataclasses.field(default_factory=list)
    named_version: int = 99
    # Items that crash their engine.
    crashing: set[str] = dataclasses.field(default_factory=set)
    # Items that crash their engine after an invalid answer.
    refused: set[str] = dataclasses.field(default_factory=set)

    async def generate(
        self,
        engine: ListedTarget,
        call: calls.TargetCall,
        answer_by: Instant,
        progress_seconds: float,
        sink: calls.GenerationSink,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        found = self.engines_by_id[engine.id]
        first = call.after_event or 0
        if self.clock.seconds() < found.down_until:
            await self._sleep(0.001)
            raise calls.CallFailed(
                calls.CallEnd.NOT_SENT, 'refused', is_connection_refused=True
            )
        self.runs.append((call.id, first))
        self.places.append(engine.id)
        self.run_times.append(self.clock.seconds())
        if call.id in self.crashing:
            await self._sleep(CRASH_SECONDS)
            self._end(found)
            raise _connection_lost()
        if call.id in self.refused:
            self.clock.callLater(CRASH_SECONDS, self._end, found)
            raise calls.CallFailed(calls.CallEnd.BROKEN, 'not signed')
        if found.is_silent:
            await self._sleep(progress_seconds)
            raise calls.CallFailed(calls.CallEnd.BROKEN, 'silent')
        answer = TargetAnswer(
            status=found.status, headers=(), body=b'', signature='signed'
        )
        if found.status != 200:
            await self._sleep(0.01)
            return answer
        try:
            sink.begin(answer, found.version)
            await self._events(found, first, sink)
        except calls.CallFailed:
            raise
        except http_exchange.ResponseRejected as error:
            raise calls.CallFailed(calls.CallEnd.BROKEN, str(error)) from error
        return answer

    def _end(self, engine: Engine) -> None:
        if self.clock.seconds() >= engine.down_until:
            engine.ends += 1
            engine.down_until = self.clock.seconds() + RESTART_SECONDS

    async def _events(
        self, engine: Engine, first: int, sink: calls.GenerationSink
    ) -> None:
        version = engine.version
        ends = engine.ends
        sent = 0
        for number in range(first + 1, EVENTS + 1):
            await self._sleep(engine.gap)
            if engine.ends != ends:
                raise _connection_lost()
            if engine.breaks_after and sent >= engine.breaks_after:
                raise http_exchange.ResponseRejected('broke off')
            changed = engine.version != version
            version = engine.version
            sink.event(
                StreamEvent(
                    number=number,
                    data=f'd{number}',
                    version=WeightVersion(version) if changed else None,
                )
            )
            sent += 1

    async def is_target_down(self, engine: ListedTarget) -> bool:
        down_until = self.engines_by_id[engine.id].down_until
        await self._sleep(0.001)
        return self.clock.seconds() < down_until

    async def report(
        self, engine: ListedTarget, deadline: Instant
    ) -> wire_engines.EngineReport:
        found = self.engines_by_id[engine.id]
        await self._sleep(0.005)
        return wire_engines.EngineReport(
            versions_by_model={world.MODEL: WeightVersion(found.version)},
            is_busy=False,
            orders_accepted=found.orders,
            running=0,
            waiting=0,
            started_at=found.started_at,
        )

    async def order(
        self,
        engine: ListedTarget,
        order: wire_engines.VersionOrder,
        deadline: Instant,
    ) -> wire_engines.OrderOutcome:
        found = self.engines_by_id[engine.id]
        found.orders_received += 1
        await self._sleep(0.005)
        if order.expected_orders != found.orders:
            return wire_engines.OrderOutcome.BUSY
        found.orders += 1
        found.order_epochs.append(order.epoch)
        self.clock.callLater(0.9, setattr, found, 'version', order.version)
        return wire_engines.OrderOutcome.ACCEPTED

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.clock, seconds)


def _connection_lost() -> calls.CallFailed:
    return calls.CallFailed(
        calls.CallEnd.BROKEN, 'lost', is_connection_lost=True
    )


class Scorer:
    """Return scores immediately."""

    async def score(self, run: Any) -> str:
        return f'score of {run.item.id}'


class HeldDuty(test_listing.HeldDuty):
    """Simulate a held duty that permits version orders."""

    held_lease: Any = None

    def is_held(self) -> bool:
        return self.revision is not None

    def can_send_orders(self) -> bool:
        return self.revision is not None

    def record_order(self) -> None:
        pass

    async def confirm(self, max_age: float) -> bool:
        return self.revision is not None


class RunnerTest(world.WorldTest):
    """Set up engines, a store and instances that run jobs."""

    placement = Placement.LOAD
    # Service or partition whose duty an instance gets.
    part = world.SERVICE

    def setUp(self) -> None:
        super().setUp()
        # Submission times use the wall clock.
        patch = mock.patch.object(time, 'time', self.clock.seconds)
        patch.start()
        self.addCleanup(patch.stop)
        self.engines = Engines(self.clock, {})
        for name in ('e1', 'e2'):
            target = world.engine(name)
            self.engines.engines_by_id[target.id] = Engine(target)
        self.holds = 0
        self.table = routes.RouteTable(
            1, [world.batch_route()], [], routes.ClientLimits()
        )

    def engine(self, name: str) -> Engine:
        return self.engines.engines_by_id[TargetId(name)]

    def duty(self) -> HeldDuty:
        return HeldDuty(Revision(self.keys.revision), self.part)

    def hold(
        self, name: str, handed: Iterable[PartialText] = ()
    ) -> runner_module.Runner:
        """Start a runner in an instance that holds the duty."""
        self.holds += 1
        self.keys.put(keys.duty(self.part), b'%d' % self.holds)
        duty = self.duty()
        duty.held_lease = mock.Mock(epoch=self.keys.revision)
        state = self.state(name)
        state.route_table = self.table
        state.placement = self.placement
        for engine in self.engines.engines_by_id.values():
            state.targets.put(engine.target)
        self.known = state
        content_guard = guard.ContentGuard(state, self.clock)
        watched = watched_calls.WatchedCalls(
            self.engines,
            detector.CrashDetector(self.engines, content_guard, self.clock),
            content_guard,
        )
        memory = self.store()
        found = runner_module.Runner(
            state,
            duty,
            memory,
            job_store.JobStore(memory, self.clock),
            generation.Generator(watched, self.clock),
            content_guard,
            Scorer(),
            self.engines,
            self.clock,
            defer.succeed(list(handed)),
        )
        self.memory: memory_store.MemoryStore = memory
        found.start()
        self.addCleanup(found.stop)
        return found

    def submit(
        self,
        name: str = 'j',
        groups: int = 2,
        min_version: int = 1,
        others: Collection[str] = (),
        accepted_version: int = 0,
    ) -> Job:
        """Submit a job; the items in `others` have a different body."""
        now = self.clock.seconds()
        job = Job(
            id=JobId(name),
            service=world.SERVICE,
            host='t.example',
            route='train',
            model=world.MODEL,
            min_version=WeightVersion(min_version),
            max_attempts=3,
            accepted_version=accepted_version,
            submitted_at=WallTime(now),
            due_at=WallTime(now + 7.5),
            retained_until=WallTime(now + 40.0),
            items=tuple(
                Item(
                    id=ItemId(item),
                    path=f'/train/{group}/{place}',
                    headers=(),
                    body=b'other' if item in others else b'prompt',
                    tokens=10,
                    group=GroupId(f'{name}-{group}'),
                )
                for group in range(groups)
                for place in range(2)
                if (item := f'{name}-{group}-{place}')
            ),
        )
        jobs = job_store.JobStore(self.store(), self.clock)
        self.finish(jobs.accept(job))
        return job

    def results(self, name: str = 'j') -> list[Any]:
        jobs = job_store.JobStore(self.store(), self.clock)
        found = self.finish(jobs.read_results(JobId(name)))
        listed: list[Any] = []
        for position, chunk in sorted(found.chunks_by_position.items()):
            self.assertEqual(len(listed), position)
            listed += chunk.results
        ids = [result.id for result in listed]
        self.assertEqual(len(set(ids)), len(ids), 'an item is listed twice')
        return listed

    def runs_of(self, item: str) -> list[int]:
        """Return the events after which the runs of an item started."""
        return [first for name, first in self.engines.runs if name == item]

    def run_times_of(self, item: str) -> list[float]:
        """Return when the runs of an item started."""
        started = zip(self.engines.runs, self.engines.run_times, strict=True)
        return [at for (name, _), at in started if name == item]

    def runs_by_item(self) -> collections.Counter[str]:
        return collections.Counter(name for name, _ in self.engines.runs)


def whole_text() -> str:
    return '\n'.join(f'd{number}' for number in range(1, EVENTS + 1))
