"""Connect membership controllers in memory and inject faults."""

from __future__ import annotations

import random

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.blackboard import Blackboard
from yuccarill.core import errors
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.core.membership.instances import InstanceState
from yuccarill.daemon.controllers import membership

LATENCY_SECONDS = 0.002


class PausableClock:
    """Delay timers and messages while the process is paused."""

    def __init__(self, clock: task.Clock) -> None:
        self._clock = clock
        self.is_paused = False
        self.held_timers: list = []
        self.held_bytes: list = []

    def seconds(self) -> float:
        return self._clock.seconds()

    def callLater(self, delay, function, *args):  # noqa: N802
        def run() -> None:
            if self.is_paused:
                self.held_timers.append(lambda: function(*args))
            else:
                function(*args)

        return self._clock.callLater(delay, run)

    def receive(self, function) -> None:
        if self.is_paused:
            self.held_bytes.append(function)
        else:
            function()

    def resume(self) -> None:
        # A resumed process runs its timers before it reads its sockets.
        self.is_paused = False
        waiting = self.held_timers + self.held_bytes
        self.held_timers, self.held_bytes = [], []
        for function in waiting:
            function()


class Process:
    """Run the membership controller of one instance."""

    def __init__(self, fleet: Fleet, me: Instance, start: int) -> None:
        self.me = me
        self._fleet = fleet
        self.clock = PausableClock(fleet.clock)
        self.is_down = False
        self.controller = membership.MembershipController(
            Blackboard(own_instance=me),
            self,
            self,
            Incarnation(f'{me.id}-{start}'),
            clock=self.clock,
        )

    def live_ids(self) -> set[str]:
        return {i.id for i in self.controller.live()}

    async def read(self) -> list[Instance]:
        """Read the simulated instance list."""
        return self._fleet.read_list(self.me.id)

    async def request(self, peer: Instance, body, seconds: float):
        """Send a request to a simulated peer."""
        return await self._fleet.deliver(self, peer.id, body)


class Fleet:
    """Deliver messages between processes and inject faults."""

    def __init__(
        self, size: int, seed: int = 1, centres: int = 3, clock=None
    ) -> None:
        self.clock = clock or task.Clock()
        self.random_source = random.Random(seed)
        self.processes_by_id: dict[str, Process] = {}
        self.listed_by_id: dict[str, Instance] = {}
        # Pairs of source and target whose messages are dropped.
        self.cut: set[tuple[str, str]] = set()
        # Pairs that can not connect, while replies still pass.
        self.blocked: set[tuple[str, str]] = set()
        # Whether the network cuts apply to the instance list as well.
        self.is_list_split = False
        self.is_list_down = False
        self.loss = 0.0
        self.is_doubling = False
        self.list_reads = 0
        self.messages = 0
        self.on_message = lambda body: None
        self._starts = 0
        for number in range(size):
            self.start(f'i{number}', f'dc{number % centres}')

    def start(self, name: str, data_centre: str) -> Process:
        me = Instance(
            id=InstanceId(name),
            data_centre=DataCentreId(data_centre),
            host='127.0.0.1',
            http_port=1,
            peer_port=2,
        )
        self._starts += 1
        process = Process(self, me, self._starts)
        self.processes_by_id[name] = process
        self.listed_by_id[name] = me
        self.start_controller(process)
        return process

    def start_controller(self, process: Process) -> None:
        defer.ensureDeferred(process.controller.follow())

    def restart(self, name: str) -> Process:
        former = self.processes_by_id[name]
        self.crash(name)
        listed = dict(self.listed_by_id)
        process = self.start(name, former.me.data_centre)
        self.listed_by_id = listed
        return process

    def crash(self, name: str) -> None:
        process = self.processes_by_id[name]
        process.is_down = True
        process.clock.is_paused = True

    def list_as(self, name: str, state: InstanceState) -> None:
        self.listed_by_id[name] = Instance(
            **{
                field: getattr(self.processes_by_id[name].me, field)
                for field in Instance.__struct_fields__
                if field != 'state'
            },
            state=state,
        )

    def read_list(self, reader: str) -> list[Instance]:
        self.list_reads += 1
        if self.is_list_down:
            raise errors.StoreUnavailable('The list is down.')
        return [
            instance
            for instance in self.listed_by_id.values()
            if not (self.is_list_split and (reader, instance.id) in self.cut)
        ]

    def up(self) -> list[Process]:
        return [p for p in self.processes_by_id.values() if not p.is_down]

    def pass_time(self, seconds: float, step: float = 0.05) -> None:
        for _ in range(round(seconds / step)):
            self.clock.advance(step)

    def views(self, leaving_out: str = '') -> set[frozenset[str]]:
        """Return the distinct sets of live ids that instances see."""
        return {
            frozenset(process.live_ids())
            for process in self.up()
            if process.me.id != leaving_out
        }

    def deliver(self, source: Process, target: str, body) -> defer.Deferred:
        reply: defer.Deferred = defer.Deferred()
        self._send(source.me.id, target, body, reply, source)
        if self.is_doubling:
            self._send(source.me.id, target, body, defer.Deferred(), source)
        return reply

    def _send(self, name, target, body, reply, source) -> None:
        self._count(body)
        process = self.processes_by_id[target]
        if (name, target) in self.blocked or self._is_lost(name, target):
            return

        def answer() -> None:
            if process.is_down:
                refused = errors.NotRun('Refused.', retry_after=1.0)
                source.clock.receive(lambda: _fire(reply, refused))
                return
            process.clock.receive(serve)

        def serve() -> None:
            served = defer.ensureDeferred(process.controller.handle(body))
            served.addCallback(back)

        def back(answered) -> None:
            self._count(answered)
            if not self._is_lost(target, name):
                self._later(
                    lambda: source.clock.receive(
                        lambda: _fire(reply, answered)
                    )
                )

        self._later(answer)

    def _is_lost(self, name: str, target: str) -> bool:
        return (
            name,
            target,
        ) in self.cut or self.random_source.random() < self.loss

    def _later(self, function) -> None:
        spread = self.random_source.uniform(
            0.5, 20.0 if self.is_doubling else 1.5
        )
        self.clock.callLater(LATENCY_SECONDS * spread, function)

    def _count(self, body) -> None:
        self.messages += 1
        self.on_message(body)


def _fire(reply: defer.Deferred, result) -> None:
    if reply.called:
        return
    if isinstance(result, Exception):
        reply.errback(result)
    else:
        reply.callback(result)
