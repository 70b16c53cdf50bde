"""Test streams whose clients read slowly, beside those that read at once.

The whole path in memory: the server's connections, a stream's attempts, the
targets' connections. A transport stands for a client's socket.
"""

from __future__ import annotations

import types

import msgspec
from nose2.tools import params
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure
from zope import interface

from yuccarill.core import errors
from yuccarill.core.flow import memory_budget
from yuccarill.core.gateway.requests import ClientRequest
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway import routes
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.text import StreamEvent
from yuccarill.daemon.gateway.flow import desk
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.requests import pools
from yuccarill.daemon.gateway.requests import sender
from yuccarill.daemon.gateway.requests import streams
from yuccarill.daemon.gateway.requests import usage_sink
from yuccarill.platform import calls
from yuccarill.platform import ports
from yuccarill.platform import server

from . import world

SOCKET_BYTES = 64 << 10
EVENT_BYTES = 16 << 10
EVENTS = 40
# Callers of a site's slow network at one instance, and others beside them.
SLOW = 500
QUICK = 50
MEMORY = 160_000_000
SMALL_MEMORY = 80_000_000
REQUEST = (
    b'POST /s/ HTTP/1.1\r\nHost: t.example\r\nRequest-Id: r%d\r\n'
    b'Content-Length: 0\r\n\r\n'
)


@interface.implementer(interfaces.IPushProducer)
class Socket:
    """Hold what its client has not read, as a transport does."""

    def __init__(self, clock: task.Clock, reads: bool) -> None:
        self._clock = clock
        self.reads = reads
        self.read = b''
        self.waiting = b''
        self.is_aborted = False
        self.disconnecting = False
        self._producer: object = None
        self._is_paused = False

    def write(self, data: bytes) -> None:
        self.waiting += data
        if self.reads:
            self.drain()
        elif len(self.waiting) > SOCKET_BYTES and not self._is_paused:
            self._is_paused = True
            self._producer.pauseProducing()

    def drain(self) -> None:
        """Let the client read everything."""
        self.read, self.waiting = self.read + self.waiting, b''
        if self._is_paused:
            self._is_paused = False
            self._producer.resumeProducing()

    def writeSequence(self, parts: list[bytes]) -> None:  # noqa: N802
        self.write(b''.join(parts))

    def registerProducer(  # noqa: N802
        self, producer: object, _: bool
    ) -> None:
        self._producer = producer

    def abortConnection(self) -> None:  # noqa: N802
        self.is_aborted = True
        self.waiting = b''
        lost = failure.Failure(error.ConnectionAborted())
        self._clock.callLater(0.0, self._producer.connectionLost, lost)

    def loseConnection(self) -> None:  # noqa: N802
        self.disconnecting = True

    def getPeer(self) -> None:  # noqa: N802
        pass

    getHost = pauseProducing = resumeProducing = getPeer  # noqa: N815
    stopProducing = unregisterProducer = getPeer  # noqa: N815


class Run:
    """Generate one stream as fast as it is read."""

    def __init__(self, call: calls.TargetCall, sink: object) -> None:
        self.call = call
        self.sink = sink
        self.is_paused = False
        self.ended: defer.Deferred[TargetAnswer] = defer.Deferred()
        self.next = (call.after_event or 0) + 1

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False

    def step(self) -> None:
        """Make one event if it is read, and end after the last."""
        if self.is_paused or self.ended.called:
            return
        self.sink.event(
            StreamEvent(
                number=self.next,
                data='',
                version=WeightVersion(1),
                raw=b'%03d;' % self.next + b'x' * EVENT_BYTES,
            )
        )
        self.next += 1
        if self.next > EVENTS:
            self.ended.callback(_ANSWER)

    def cut(self) -> None:
        """Break off, as a target does with what stays unread."""
        self.ended.errback(calls.CallFailed(calls.CallEnd.BROKEN, 'cut'))


_ANSWER = TargetAnswer(
    status=200, headers=(('Request-Id', 'r'),), body=b'', signature='s'
)


class Targets:
    """Hold every run that was asked for."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.runs: list[Run] = []

    def is_connected(self, target: object) -> bool:
        return False

    async def generate(
        self, target: object, call: calls.TargetCall, *rest: object
    ) -> TargetAnswer:
        sink = rest[-1]
        run = Run(call, sink)
        self.runs.append(run)
        sink.attach(run)
        sink.begin(_ANSWER, 1)
        return await run.ended

    def step(self) -> None:
        for run in self.runs:
            run.step()
        self.clock.advance(0.0)


class SlowReadersTest(world.WorldTest):
    def begin(
        self, memory: int | None = MEMORY, is_resumable: bool = True
    ) -> None:
        state = self.state('a')
        self.targets = Targets(self.clock)
        sending = sender.Sender(
            pools.Pools(state),
            self.targets,
            guard.ContentGuard(state, self.clock),
            self.clock,
        )
        forwarder = streams.StreamForwarder(
            state, sending, self.targets, usage_sink.NoUsage(), self.clock
        )
        route = msgspec.structs.replace(
            world.batch_route(),
            kind=routes.RouteKind.STREAM,
            is_resumable=is_resumable,
            max_attempts=2,
        )
        self.flow = desk.for_memory(memory)
        self.refusals: list[Exception] = []

        async def forward(
            request: ClientRequest, answerer: ports.Answerer
        ) -> None:
            await forwarder.serve(route, request, answerer)

        gateway = types.SimpleNamespace(
            forward=forward,
            is_leaving=lambda: False,
            limits=routes.ClientLimits,
            refused=lambda _, error: self.refusals.append(error),
        )
        self.factory = server.ClientFactory(
            gateway,
            self.flow,
            self.clock,
            lambda: Instant(self.clock.seconds()),
        )

    def connect(self, reads: bool) -> tuple[object, Socket]:
        channel = self.factory.buildProtocol(None)
        socket = Socket(self.clock, reads)
        channel.makeConnection(socket)
        return channel, socket

    def ask(self, number: int, reads: bool) -> tuple[object, Socket]:
        channel, socket = self.connect(reads)
        channel.dataReceived(REQUEST % number)
        return channel, socket

    # The memory of the machine, and whether pauses alone keep the bound.
    @params((MEMORY, True), (SMALL_MEMORY, False))
    def test_slow_readers_cost_the_bound_and_others_are_served(
        self, memory: int, is_enough: bool
    ) -> None:
        """Guard against a process that holds the answers of slow readers."""
        self.begin(memory)
        slow = [self.ask(number, False)[1] for number in range(SLOW)]
        quick = [self.ask(SLOW + n, True)[1] for n in range(QUICK)]
        bound = self.flow.budget.bounds.process
        most = 0
        for _ in range(EVENTS):
            self.targets.step()
            most = max(most, self.flow.budget.held)
        self.assertLessEqual(most, bound)
        # What a socket takes before it asks for a pause is not counted.
        waiting = sum(len(each.waiting) for each in slow)
        self.assertLessEqual(waiting, bound + SLOW * SOCKET_BYTES)
        for each in quick:
            self.assertTrue(each.read.endswith(b'0\r\n\r\n'))
            self.assertIn(b'%03d;' % EVENTS, each.read)
        kept = [each for each in slow if not each.is_aborted]
        self.assertEqual(is_enough, len(kept) == SLOW)
        codes = [refusal.code for refusal in self.refusals]
        cut = errors.ResultCode.ANSWER_CUT
        self.assertEqual([cut] * (SLOW - len(kept)), codes)
        self.assertTrue(kept)
        # Those that were kept get the whole of it once they read.
        for _ in range(EVENTS):
            for each in kept:
                each.drain()
            self.targets.step()
        for each in kept:
            each.drain()
            self.assertTrue(each.read.endswith(b'0\r\n\r\n'))
        self.assertEqual(0, self.flow.budget.held)

    def test_without_the_machines_memory_nothing_is_paused(self) -> None:
        """Guard against a change where no deployment asks for one."""
        self.begin(memory=None)
        _, socket = self.ask(1, False)
        for _ in range(EVENTS):
            self.targets.step()
        self.assertGreater(len(socket.waiting), EVENTS * EVENT_BYTES)
        self.assertFalse(self.targets.runs[0].is_paused)

    def test_a_cut_of_what_stayed_unread_is_resumed(self) -> None:
        """Guard against a target's cut that ends a slow reader's stream.

        More often than a request has attempts: its client reads each time.
        """
        self.begin()
        _, socket = self.ask(1, False)
        cuts = 0
        for _ in range(4 * EVENTS):
            run = self.targets.runs[-1]
            run.step()
            if run.is_paused:
                run.cut()
                cuts += 1
                # Nothing is asked of another target for who does not read.
                self.assertIs(run, self.targets.runs[-1])
                socket.drain()
                self.assertIsNot(run, self.targets.runs[-1])
                last = self.targets.runs[-1].call.after_event
                self.assertEqual(run.next - 1, last)
        socket.drain()
        self.assertGreaterEqual(cuts, 2)
        self.assertTrue(socket.read.endswith(b'0\r\n\r\n'))
        numbers = [b'%03d;' % n for n in range(1, EVENTS + 1)]
        self.assertEqual([1] * EVENTS, [socket.read.count(n) for n in numbers])

    def test_a_stream_that_can_not_be_resumed_is_taken_in_ahead(self) -> None:
        """Guard against a pause that makes a target cut what is then lost."""
        self.begin(is_resumable=False)
        _, socket = self.ask(1, False)
        for _ in range(EVENTS):
            self.targets.step()
        self.assertTrue(self.targets.runs[0].ended.called)
        socket.drain()
        self.assertTrue(socket.read.endswith(b'0\r\n\r\n'))

    def test_a_client_that_leaves_gives_back_what_it_held(self) -> None:
        """Guard against bytes of clients that are gone."""
        self.begin()
        channel, _ = self.ask(1, False)
        for _ in range(EVENTS):
            self.targets.step()
        self.assertGreater(self.flow.budget.held, memory_budget.REQUEST_BYTES)
        channel.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual(0, self.flow.budget.held)

    def answer_whole(self) -> Socket:
        """Answer a request with one long body that its client reads late."""
        self.begin()
        answer = msgspec.structs.replace(_ANSWER, body=b'x' * 300_000)

        async def forward(
            request: ClientRequest, answerer: ports.Answerer
        ) -> None:
            answerer.answer(answer)

        self.factory.gateway.forward = forward
        self.channel, socket = self.ask(1, False)
        self.assertGreater(self.flow.budget.held, 300_000)
        return socket

    def test_a_whole_answer_is_held_until_it_is_read(self) -> None:
        """Guard against an idle time that runs while a client still reads."""
        socket = self.answer_whole()
        self.clock.pump([1.0] * 40)
        self.assertFalse(socket.disconnecting)
        socket.drain()
        self.assertEqual(300_000, socket.read.count(b'x'))
        self.assertEqual(0, self.flow.budget.held)
        # From here on it is idle.
        self.clock.pump([1.0] * 20)
        self.assertTrue(socket.disconnecting)

    def test_an_unread_answer_goes_while_the_next_head_comes(self) -> None:
        """Guard against a drop that fails on a request without its head."""
        socket = self.answer_whole()
        self.channel.dataReceived(REQUEST[:30])
        other = self.flow.open(lambda drop: None)
        other.enter(memory_budget.RequestStage.SERVED)
        bound = self.flow.budget.bounds.process
        other.hold(memory_budget.BufferKind.REQUEST_BODY, bound)
        self.assertTrue(socket.is_aborted)
        self.assertEqual(bound, self.flow.budget.held)

    def test_a_whole_answer_that_is_never_read_is_cut(self) -> None:
        """Guard against clients that hold answers for good."""
        socket = self.answer_whole()
        self.clock.pump([1.0] * 90)
        self.assertTrue(socket.is_aborted)
