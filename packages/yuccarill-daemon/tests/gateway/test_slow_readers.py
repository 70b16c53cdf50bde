"""Test streams to slow clients next to streams to fast ones.

Runs server connections, flow control and forwarding on fake sockets.
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
from yuccarill.daemon.gateway.flow import buffers
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
# Numbers of slow and of fast clients.
SLOW_CLIENTS = 500
FAST_CLIENTS = 50
MEMORY = 160_000_000
SMALL_MEMORY = 80_000_000
REQUEST = (
    b'POST /s/ HTTP/1.1\r\nHost: t.example\r\nRequest-Id: r%d\r\n'
    b'Content-Length: 0\r\n\r\n'
)


@interface.implementer(interfaces.IPushProducer)
class Socket:
    """Fake a transport that buffers what its client has not read."""

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
    """Generate one stream, subject to back pressure."""

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
        """Emit one event unless paused, and end after the last."""
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

    def abort(self) -> None:
        """Abort the stream, as a target does with a slow reader."""
        self.ended.errback(calls.CallFailed(calls.CallEnd.BROKEN, 'cut'))


_ANSWER = TargetAnswer(
    status=200, headers=(('Request-Id', 'r'),), body=b'', signature='s'
)


class Targets:
    """Record the run of every call."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.runs: list[Run] = []

    def is_connected(self, target: object) -> bool:
        return False

    async def generate(
        self,
        target: object,
        call: calls.TargetCall,
        *rest: object,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        sink = rest[-1]
        run = Run(call, sink)
        self.runs.append(run)
        sink.set_reading(run)
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
        self.flow = buffers.for_memory(memory)
        self.refusals: list[Exception] = []

        async def forward(
            request: ClientRequest, answerer: ports.Answerer
        ) -> None:
            await forwarder.serve(route, request, answerer)

        gateway = types.SimpleNamespace(
            forward=forward,
            is_leaving=lambda: False,
            limits=routes.ClientLimits,
            report_refusal=lambda _, error: self.refusals.append(error),
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

    # Memory of the machine, and whether pausing suffices without drops.
    @params((MEMORY, True), (SMALL_MEMORY, False))
    def test_slow_readers_stay_in_bounds_and_others_are_served(
        self, memory: int, pausing_suffices: bool
    ) -> None:
        """Guard against unbounded buffers for slow readers."""
        self.begin(memory)
        slow = [self.ask(number, False)[1] for number in range(SLOW_CLIENTS)]
        fast = [
            self.ask(SLOW_CLIENTS + n, True)[1] for n in range(FAST_CLIENTS)
        ]
        bound = self.flow.budget.bounds.process
        most = 0
        for _ in range(EVENTS):
            self.targets.step()
            most = max(most, self.flow.budget.held)
        self.assertLessEqual(most, bound)
        # The budget excludes what a socket buffers before it pauses.
        waiting = sum(len(each.waiting) for each in slow)
        self.assertLessEqual(waiting, bound + SLOW_CLIENTS * SOCKET_BYTES)
        for each in fast:
            self.assertTrue(each.read.endswith(b'0\r\n\r\n'))
            self.assertIn(b'%03d;' % EVENTS, each.read)
        kept = [each for each in slow if not each.is_aborted]
        self.assertEqual(pausing_suffices, len(kept) == SLOW_CLIENTS)
        codes = [refusal.code for refusal in self.refusals]
        cut = errors.ResultCode.ANSWER_CUT
        self.assertEqual([cut] * (SLOW_CLIENTS - len(kept)), codes)
        self.assertTrue(kept)
        # The remaining clients get complete streams once they read.
        for _ in range(EVENTS):
            for each in kept:
                each.drain()
            self.targets.step()
        for each in kept:
            each.drain()
            self.assertTrue(each.read.endswith(b'0\r\n\r\n'))
        self.assertEqual(0, self.flow.budget.held)

    def test_no_pause_without_a_memory_setting(self) -> None:
        """Guard against pauses in deployments without a memory setting."""
        self.begin(memory=None)
        _, socket = self.ask(1, False)
        for _ in range(EVENTS):
            self.targets.step()
        self.assertGreater(len(socket.waiting), EVENTS * EVENT_BYTES)
        self.assertFalse(self.targets.runs[0].is_paused)

    def test_stream_aborted_by_its_target_while_unread_is_resumed(
        self,
    ) -> None:
        """Guard against aborts of slow streams that use up the attempts."""
        self.begin()
        _, socket = self.ask(1, False)
        aborts = 0
        for _ in range(4 * EVENTS):
            run = self.targets.runs[-1]
            run.step()
            if run.is_paused:
                run.abort()
                aborts += 1
                # No retry starts until the client reads.
                self.assertIs(run, self.targets.runs[-1])
                socket.drain()
                self.assertIsNot(run, self.targets.runs[-1])
                last = self.targets.runs[-1].call.after_event
                self.assertEqual(run.next - 1, last)
        socket.drain()
        self.assertGreaterEqual(aborts, 2)
        self.assertTrue(socket.read.endswith(b'0\r\n\r\n'))
        numbers = [b'%03d;' % n for n in range(1, EVENTS + 1)]
        self.assertEqual([1] * EVENTS, [socket.read.count(n) for n in numbers])

    def test_unresumable_stream_is_buffered_without_pauses(self) -> None:
        """Guard against a pause that makes a target abort the stream."""
        self.begin(is_resumable=False)
        _, socket = self.ask(1, False)
        for _ in range(EVENTS):
            self.targets.step()
        self.assertTrue(self.targets.runs[0].ended.called)
        socket.drain()
        self.assertTrue(socket.read.endswith(b'0\r\n\r\n'))

    def test_disconnected_client_releases_its_buffers(self) -> None:
        """Guard against buffers leaked by disconnected clients."""
        self.begin()
        channel, _ = self.ask(1, False)
        for _ in range(EVENTS):
            self.targets.step()
        self.assertGreater(self.flow.budget.held, memory_budget.REQUEST_BYTES)
        channel.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual(0, self.flow.budget.held)

    def leave_answer_unread(self) -> Socket:
        """Answer a request with a long body that its client leaves unread."""
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

    def test_answer_is_kept_until_it_is_read(self) -> None:
        """Guard against an idle timeout while a client still reads."""
        socket = self.leave_answer_unread()
        self.clock.pump([1.0] * 40)
        self.assertFalse(socket.disconnecting)
        socket.drain()
        self.assertEqual(300_000, socket.read.count(b'x'))
        self.assertEqual(0, self.flow.budget.held)
        # The connection is idle from here on.
        self.clock.pump([1.0] * 20)
        self.assertTrue(socket.disconnecting)

    def test_unread_answer_is_dropped_during_the_next_head(self) -> None:
        """Guard against a drop that fails on an incomplete request head."""
        socket = self.leave_answer_unread()
        self.channel.dataReceived(REQUEST[:30])
        other = self.flow.open(lambda drop: None)
        other.set_stage(memory_budget.RequestStage.SERVED)
        bound = self.flow.budget.bounds.process
        other.set_buffered(memory_budget.BufferKind.REQUEST_BODY, bound)
        self.assertTrue(socket.is_aborted)
        self.assertEqual(bound, self.flow.budget.held)

    def test_answer_that_is_never_read_is_aborted(self) -> None:
        """Guard against clients that never read their answers."""
        socket = self.leave_answer_unread()
        self.clock.pump([1.0] * 90)
        self.assertTrue(socket.is_aborted)
