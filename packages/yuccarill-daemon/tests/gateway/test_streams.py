"""Test that streams reach their clients while targets fail."""

from __future__ import annotations

import dataclasses

import msgspec
from nose2.tools import params

from yuccarill.core import errors
from yuccarill.core.gateway.requests import ClientRequest
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway import routes
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.text import StreamEvent
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.requests import pools
from yuccarill.daemon.gateway.requests import sender
from yuccarill.daemon.gateway.requests import streams
from yuccarill.daemon.gateway.requests import usage_sink
from yuccarill.platform import calls

from . import world

EVENTS = 5
DEADLINE = Instant(9.0)


@dataclasses.dataclass
class Client:
    """Record what the client receives."""

    data: bytes = b''
    has_begun: bool = False
    is_finished: bool = False
    is_aborted: bool = False
    answer_status: int | None = None

    def feed_from(self, source: object, is_resumable: bool) -> None:
        pass

    def begin(self, answer: TargetAnswer) -> None:
        self.has_begun = True

    def write(self, data: bytes) -> None:
        self.data += data

    def finish(self) -> None:
        self.is_finished = True

    def abort(self) -> None:
        self.is_aborted = True

    def answer(self, answer: TargetAnswer) -> None:
        self.answer_status = answer.status


@dataclasses.dataclass
class Targets:
    """Interrupt each attempt after a planned number of events."""

    # Number of events of each attempt, a failure that the target answers
    # instead, or None for a refused attempt.
    plan: list[int | TargetAnswer | None]
    begun_after: list[int | None] = dataclasses.field(default_factory=list)
    deadlines: list[Instant | None] = dataclasses.field(default_factory=list)
    are_fresh: list[bool] = dataclasses.field(default_factory=list)

    def is_connected(self, target: object) -> bool:
        return False

    async def generate(
        self,
        target: object,
        call: calls.TargetCall,
        answer_by: Instant,
        progress: float,
        sink: calls.GenerationSink,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        self.are_fresh.append(is_fresh)
        self.begun_after.append(call.after_event)
        self.deadlines.append(call.deadline)
        count = self.plan[len(self.begun_after) - 1]
        if count is None:
            return TargetAnswer(
                status=503, headers=(), body=b'', signature=None, not_run=True
            )
        if isinstance(count, TargetAnswer):
            return count
        answer = TargetAnswer(status=200, headers=(), body=b'', signature='s')
        try:
            sink.begin(answer, 1)
            first = (call.after_event or 0) + 1
            for number in range(first, min(first + count, EVENTS + 1)):
                sink.event(
                    StreamEvent(
                        number=number,
                        data='',
                        version=WeightVersion(1),
                        raw=b'%d;' % number,
                    )
                )
        except http_exchange.ResponseRejected as error:
            raise calls.CallFailed(calls.CallEnd.BROKEN, str(error)) from error
        if first + count <= EVENTS:
            raise calls.CallFailed(calls.CallEnd.BROKEN, 'broke off')
        return answer


def failed(status: int) -> TargetAnswer:
    """Return a failure that a target answers after it ran the request."""
    return TargetAnswer(status=status, headers=(), body=b'no', signature='s')


class StreamTest(world.WorldTest):
    def serve(
        self, *plan: int | TargetAnswer | None, is_resumable: bool = True
    ) -> tuple[Client, Targets, str]:
        state = self.state('a')
        for name in ('e2', 'e3'):
            state.targets.put(world.engine(name))
        targets = Targets(list(plan))
        forwarder = streams.StreamForwarder(
            state,
            sender.Sender(
                pools.Pools(state),
                targets,
                guard.ContentGuard(state, self.clock),
                self.clock,
            ),
            targets,
            usage_sink.NoUsage(),
            self.clock,
        )
        route = msgspec.structs.replace(
            world.batch_route(),
            kind=routes.RouteKind.STREAM,
            is_resumable=is_resumable,
        )
        request = ClientRequest(
            id=RequestId('r'),
            method='POST',
            host='t.example',
            path='/train/',
            target='/train/',
            headers=(),
            body=b'',
            arrived_at=Instant(0.0),
            deadline=DEADLINE,
        )
        client = Client()
        end = self.finish(forwarder.serve(route, request, client))
        return client, targets, end

    def test_interrupted_stream_resumes_on_another_target(self) -> None:
        """Guard against lost or repeated events when a stream is resumed."""
        client, targets, _ = self.serve(2, 9)
        self.assertEqual(b'1;2;3;4;5;', client.data)
        self.assertEqual([None, 2], targets.begun_after)
        self.assertTrue(client.is_finished)

    @params(500, 503, 504, 400, 404, 302)
    def test_a_failure_after_the_head_is_tried_elsewhere(
        self, status: int
    ) -> None:
        """Guard against a cut stream that ends as a complete one."""
        client, targets, end = self.serve(2, failed(status), 9)
        self.assertEqual([None, 2, 2], targets.begun_after)
        self.assertEqual(b'1;2;3;4;5;', client.data)
        self.assertTrue(client.is_finished)
        self.assertEqual('status 200', end)

    # The last attempts of a stream whose client has two of five events.
    @params((500, 500), (503, 404), (500, None), (None, 500))
    def test_a_stream_that_no_target_resumes_is_aborted(
        self, *statuses: int | None
    ) -> None:
        """Guard against a partial answer that looks complete."""
        plan = [None if each is None else failed(each) for each in statuses]
        client, _, end = self.serve(2, *plan)
        self.assertEqual(b'1;2;', client.data)
        self.assertTrue(client.is_aborted)
        self.assertFalse(client.is_finished)
        self.assertIsNone(client.answer_status)
        self.assertEqual('cut', end)

    def test_a_failure_before_the_head_is_answered(self) -> None:
        client, _, end = self.serve(failed(500), 9)
        self.assertEqual(500, client.answer_status)
        self.assertEqual('status 500', end)

    def test_a_failure_before_the_first_event_is_answered(self) -> None:
        """Guard against a closed connection in place of a target's answer."""
        client, _, end = self.serve(0, failed(500))
        self.assertFalse(client.has_begun)
        self.assertEqual(500, client.answer_status)
        self.assertEqual('status 500', end)

    def test_each_target_gets_the_deadline(self) -> None:
        """Guard against targets that work past the client's deadline."""
        _, targets, _ = self.serve(2, 9)
        self.assertEqual([DEADLINE, DEADLINE], targets.deadlines)

    @params((False, [True, True]), (True, [False, False]))
    def test_the_connections_of_attempts(
        self, is_resumable: bool, expected: list[bool]
    ) -> None:
        """Guard against a late refusal that makes a stream run twice."""
        _, targets, _ = self.serve(None, 9, is_resumable=is_resumable)
        self.assertEqual(expected, targets.are_fresh)

    def test_interrupted_unresumable_stream_is_aborted(self) -> None:
        client, targets, end = self.serve(2, 9, is_resumable=False)
        self.assertEqual(1, len(targets.begun_after))
        self.assertTrue(client.is_aborted)
        self.assertFalse(client.is_finished)
        self.assertEqual('cut', end)

    def test_refused_stream_is_retried_on_another_target(self) -> None:
        client, targets, _ = self.serve(None, 9, is_resumable=False)
        self.assertTrue(client.is_finished)

    def test_stream_refused_by_all_targets_is_not_run(self) -> None:
        with self.assertRaises(errors.NotRun):
            self.serve(None, None, None)

    def test_failure_before_the_head_has_unknown_outcome(self) -> None:
        # Reported as not run, the request could run twice.
        with self.assertRaises(errors.OutcomeUnknown):
            self.serve_with_failure_before_head()

    def serve_with_failure_before_head(self) -> None:
        broken = calls.CallFailed(calls.CallEnd.BROKEN, 'reset')

        async def generate(*_: object, **__: object) -> TargetAnswer:
            raise broken

        original = Targets.generate
        Targets.generate = generate  # type: ignore[method-assign]
        try:
            self.serve(0, is_resumable=False)
        finally:
            Targets.generate = original  # type: ignore[method-assign]
