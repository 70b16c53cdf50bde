"""Simulate clients, instances and crashing targets on a manual clock."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.daemon.adapters.small_server import SmallRequest
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import detector
from yuccarill.daemon.gateway.quarantine import exchange
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import watched_calls
from yuccarill.daemon.gateway.requests import hedged_request
from yuccarill.daemon.gateway.requests import pools
from yuccarill.daemon.gateway.requests import sender
from yuccarill.daemon.gateway import state as state_module
from yuccarill.platform import calls

from . import world

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.gateway.crash_ledger import CrashReport

SERVICE = ServiceName('plain')
# Prefix of the bodies of crashing requests.
CRASH_PREFIX = b'crash'
# Seconds of: one-way latency between instances; an ordinary run; the time to a
# crash; the restart under a new id; the listing of the new process; the expiry
# of the old entry.
LATENCY_SECONDS = 0.002
RUN_SECONDS = 0.04
CRASH_AFTER = (0.05, 0.35)
RESTART_SECONDS = 3.0
LISTING_SECONDS = 0.5
EXPIRY_SECONDS = 3.6
# Of a route: timeout in seconds, attempts, hedge delay in seconds.
TIMEOUT = 2.0
ATTEMPTS = 2
HEDGE_DELAY = 0.08
STEP = 0.005
# Seconds from a crash until all instances know the next process.
RELISTED_SECONDS = RESTART_SECONDS + LISTING_SECONDS + 0.5
# Seconds from the start of an instance until clients use it.
READY_SECONDS = 0.5


@dataclasses.dataclass
class Target:
    """Hold one process of a target."""

    listed: ListedTarget
    is_alive: bool = True
    runs: list[defer.Deferred[None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Instance:
    """Hold the parts of one instance that are under test."""

    name: str
    state: state_module.GatewayState
    guard: guard.ContentGuard
    sender: sender.Sender
    reports: exchange.CrashExchange
    crash_detector: detector.CrashDetector
    # When clients start to use the instance.
    listed_at: float


@dataclasses.dataclass
class Outcome:
    """Count the served and failed requests of one body."""

    served: int = 0
    failed: int = 0


class NaiveGuard(guard.ContentGuard):
    """Ignore crashes, and so quarantine nothing."""

    def record_crash(self, report: CrashReport) -> None:
        pass


class CrashWorld:
    """Simulate clients, instances and targets."""

    def __init__(
        self,
        instances: int,
        targets: int,
        seed: int = 1,
        is_naive: bool = False,
        has_supervisors: bool = False,
    ) -> None:
        # Ports stay open while their process is down.
        self.has_supervisors = has_supervisors
        self._guard_class = NaiveGuard if is_naive else guard.ContentGuard
        self.clock = task.Clock()
        self.random = random.Random(seed)
        self._seed = seed
        self.targets_by_id: dict[TargetId, Target] = {}
        self.instances_by_name: dict[str, Instance] = {}
        # Start times of the runs of each crashing body.
        self.crashing_runs: dict[bytes, list[float]] = collections.defaultdict(
            list
        )
        self.ends: list[tuple[float, TargetId]] = []
        # Keyed by body and second of sending.
        self.outcomes: dict[tuple[bytes, int], Outcome] = (
            collections.defaultdict(Outcome)
        )
        # Unexpected failures of client calls.
        self.errors: list[object] = []
        self._starts = 0
        self._count = 0
        for number in range(targets):
            self._start_target(f'10.0.0.{number}:80')
        for number in range(instances):
            self.add_instance(f'n{number}')

    def add_instance(self, name: str) -> Instance:
        """Start an instance without any crash history."""
        state = state_module.GatewayState(
            world.settings(name), random.Random(f'{self._seed} {name}')
        )
        for target in self.targets_by_id.values():
            state.targets.put(target.listed)
        plain = SimulatedCalls(self)
        content_guard = self._guard_class(state, self.clock)
        crash_detector = detector.CrashDetector(
            plain, content_guard, self.clock
        )
        watched = watched_calls.WatchedCalls(
            plain, crash_detector, content_guard
        )
        found = Instance(
            name=name,
            state=state,
            guard=content_guard,
            sender=sender.Sender(
                pools.Pools(state), watched, content_guard, self.clock
            ),
            crash_detector=crash_detector,
            reports=exchange.CrashExchange(
                state, content_guard, SimulatedPeers(self), self.clock
            ),
            listed_at=self.clock.seconds() + READY_SECONDS,
        )
        content_guard.on_quarantined = found.reports.send_quarantine
        self.instances_by_name[name] = found
        for each in self.instances_by_name.values():
            world.list_instance(each.state, name)
            world.list_instance(state, each.name)
        found.reports.start()
        return found

    def run(self, until: float, *loads: Callable[[], None]) -> None:
        """Advance the clock, calling each load at each step."""
        while self.clock.seconds() < until:
            for load in loads if self.clock.seconds() >= READY_SECONDS else ():
                load()
            self.clock.advance(STEP)
        if self.errors:
            raise AssertionError(self.errors[0])

    def random_load(
        self, rate: float, bodies: list[bytes]
    ) -> Callable[[], None]:
        """Return a load that sends random bodies at a rate per second."""

        def load() -> None:
            if self.random.random() < rate * STEP:
                body = self.random.choice(bodies)
                work = defer.Deferred.fromCoroutine(self.call(body))
                work.addErrback(self.errors.append)

        return load

    def periodic_load(
        self, seconds: float, action: Callable[[], None]
    ) -> Callable[[], None]:
        """Return a load that calls an action at an interval."""
        due = [seconds]

        def load() -> None:
            if self.clock.seconds() >= due[0]:
                due[0] += seconds
                action()

        return load

    async def call(self, body: bytes, retries: int = 1) -> None:
        """Send a request as a client, with retries at any instance."""
        outcome = self.outcomes[body, int(self.clock.seconds())]
        for _ in range(retries + 1):
            now = self.clock.seconds()
            ready = [
                each
                for each in self.instances_by_name.values()
                if now >= each.listed_at
            ]
            pause = 0.05
            try:
                answer = await self._send(self.random.choice(ready), body)
            except errors.YuccarillError as error:
                pause = min(error.retry_after or pause, TIMEOUT / 3)
            else:
                if answer.is_success:
                    outcome.served += 1
                    return
            await task.deferLater(self.clock, pause)
        outcome.failed += 1

    def served_fraction(self, bodies: list[bytes], since: float) -> float:
        """Return the fraction of served requests of some bodies."""
        found = [
            outcome
            for (body, second), outcome in self.outcomes.items()
            if body in bodies and second >= since
        ]
        served = sum(each.served for each in found)
        return served / (served + sum(each.failed for each in found))

    def quarantined(self) -> set[bytes]:
        """Return the bodies that any instance has quarantined."""
        bodies = {body for body, _ in self.outcomes}
        return {
            body
            for body in bodies
            for each in self.instances_by_name.values()
            if self.content(body) in each.guard.ledger.quarantined()
        }

    def runs_too_late(self, body: bytes, seconds: float = 3.0) -> int:
        """Count the runs that started too late after the third crash."""
        runs = self.crashing_runs[body]
        if len(runs) < 3:
            return 0
        return sum(at > runs[2] + CRASH_AFTER[1] + seconds for at in runs)

    def content(self, body: bytes) -> str:
        return self._target_call(body).content

    def end(self, target: Target) -> None:
        """Crash a process, and schedule its replacement."""
        if not target.is_alive:
            return
        target.is_alive = False
        self.ends.append((self.clock.seconds(), target.listed.id))
        self.break_connections(target)
        self.clock.callLater(
            RESTART_SECONDS, self._start_target, target.listed.address
        )
        self.clock.callLater(EXPIRY_SECONDS, self._remove, target.listed.id)

    def break_connections(self, target: Target) -> None:
        """Break the connections of all runs at a target."""
        for run in list(target.runs):
            if not run.called:
                run.errback(
                    calls.CallFailed(
                        calls.CallEnd.BROKEN, 'lost', is_connection_lost=True
                    )
                )

    def live_targets(self) -> list[Target]:
        return [t for t in self.targets_by_id.values() if t.is_alive]

    def _remove(self, target: TargetId) -> None:
        del self.targets_by_id[target]
        for each in self.instances_by_name.values():
            each.state.targets.remove(target)

    def _start_target(self, address: str) -> None:
        self._starts += 1
        listed = msgspec.structs.replace(
            world.engine(f't{self._starts}'),
            service=SERVICE,
            address=address,
        )
        self.targets_by_id[listed.id] = Target(listed)
        self.clock.callLater(LISTING_SECONDS, self._list, listed)

    def _list(self, listed: ListedTarget) -> None:
        for each in self.instances_by_name.values():
            each.state.targets.put(listed)
            each.crash_detector.handle_started_target(listed)

    async def _send(self, instance: Instance, body: bytes) -> TargetAnswer:
        plan = attempts.AttemptPlan(
            deadline=Instant(self.clock.seconds() + TIMEOUT),
            max_attempts=ATTEMPTS,
            hedge_delay=HEDGE_DELAY,
        )
        return await instance.sender.send(
            SERVICE, self._target_call(body), plan, hedged_request.SendRecord()
        )

    def _target_call(self, body: bytes) -> calls.TargetCall:
        self._count += 1
        return calls.TargetCall(
            id=RequestId(f'r{self._count}'),
            method='POST',
            target='/p',
            headers=(('Host', 'h'),),
            body=body,
        )


class SimulatedCalls:
    """Simulate calls to the targets of a crash world."""

    def __init__(self, crash_world: CrashWorld) -> None:
        self._world = crash_world
        self._clock = crash_world.clock

    def is_connected(self, target: ListedTarget) -> bool:
        return False

    async def is_target_down(self, target: ListedTarget) -> bool:
        await task.deferLater(self._clock, LATENCY_SECONDS)
        if self._world.has_supervisors:
            return False
        return not any(
            each.listed.address == target.address
            for each in self._world.live_targets()
        )

    async def send(
        self,
        target: ListedTarget,
        call: calls.TargetCall,
        answer_by: Instant,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        await task.deferLater(self._clock, LATENCY_SECONDS)
        found = self._world.targets_by_id.get(target.id)
        is_gone = found is None or not found.is_alive
        if is_gone and self._world.has_supervisors:
            # The connection opens, but no process answers.
            left = max(0.0, answer_by - self._clock.seconds())
            await task.deferLater(self._clock, left)
            raise calls.CallFailed(calls.CallEnd.BROKEN, 'silent')
        if is_gone:
            raise calls.CallFailed(calls.CallEnd.NOT_SENT, 'refused')
        run: defer.Deferred[None] = defer.Deferred()
        found.runs.append(run)
        self._begin(found, call, run)
        try:
            await run
        finally:
            found.runs.remove(run)
        return TargetAnswer(
            status=200, headers=(), body=b'', signature='signed'
        )

    def _begin(
        self, target: Target, call: calls.TargetCall, run: defer.Deferred[None]
    ) -> None:
        if call.body.startswith(CRASH_PREFIX):
            now = self._clock.seconds()
            self._world.crashing_runs[call.body].append(now)
            seconds = self._world.random.uniform(*CRASH_AFTER)
            self._clock.callLater(seconds, self._world.end, target)
            return
        work = self._world.random.expovariate(1.0 / RUN_SECONDS)
        self._clock.callLater(work, _finish, run)


class SimulatedPeers:
    """Simulate messages between the instances of a crash world."""

    def __init__(self, crash_world: CrashWorld) -> None:
        self._world = crash_world

    async def call(
        self,
        peer: state_module.InstanceRecord,
        method: str,
        target: str,
        seconds: float,
        body: bytes = b'',
    ) -> bytes:
        await task.deferLater(self._world.clock, LATENCY_SECONDS)
        found = self._world.instances_by_name.get(peer.instance)
        if found is None:
            raise peer_call.PeerFailed('gone')
        request = SmallRequest(method=method, target=target, body=body)
        page = await found.reports.handle(request)
        await task.deferLater(self._world.clock, LATENCY_SECONDS)
        return page.body


def _finish(run: defer.Deferred[None]) -> None:
    if not run.called:
        run.callback(None)
