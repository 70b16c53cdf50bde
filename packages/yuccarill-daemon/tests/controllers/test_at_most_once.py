"""Test that a non-repeatable call runs at most once under faults."""

from __future__ import annotations

import enum
import itertools
import unittest

from nose2.tools import params
from twisted.internet import error as internet_error

from controllers import call_world
from yuccarill.core.calls import admission
from yuccarill.core.calls.attempt import Step
from yuccarill.core.calls import dispatcher
from yuccarill.core.calls import limit
from yuccarill.core import errors
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import RequestId

HOME = InstanceId('a')
HALF = len(call_world.ANSWER) - 2


class Fault(enum.Enum):
    TARGET_KILLED = enum.auto()
    TARGET_FROZEN = enum.auto()
    TARGET_CUT = enum.auto()
    REPLY_LOST = enum.auto()
    DUPLICATE = enum.auto()
    HOME_CRASHED = enum.auto()
    HOME_RESTARTED = enum.auto()
    STORE_DOWN = enum.auto()
    CALLER_GONE = enum.auto()


# The home admits one call at a time, so that a second one queues.
ONE_PLACE = dispatcher.Policy(
    limit=limit.LimitPolicy(initial=1.0, lowest=1.0, highest=1.0),
    admission=admission.AdmissionPolicy(headroom=1.0),
)
# Faults after which a retry gets the answer, whatever the step.
HARMLESS = {
    Fault.REPLY_LOST,
    Fault.DUPLICATE,
    Fault.STORE_DOWN,
    Fault.CALLER_GONE,
}


class Flow:
    """Drive one call through its steps and inject a fault."""

    def __init__(self, entry: str = 'b') -> None:
        self.world = call_world.World(ONE_PLACE)
        self._entry = entry
        self._blocker: call_world.Connection | None = None
        self.ticket = str(self.world.calls[HOME].new_ticket())
        self.results: list[call_world.Result] = []
        self._first: call_world.Connection | None = None
        self._has_run = False
        self._sent = 0
        self._is_frozen = False

    def send(self, name: str) -> call_world.Result:
        result = self.world.send(name, self.ticket)
        self.results.append(result)
        return result

    def reach(self, step: Step) -> None:
        """Bring the call's first attempt to a step."""
        if step is Step.QUEUED:
            self.world.send(HOME, None, path='status')
            self._blocker = self.world.connection()
            assert self._blocker is not None
            self._blocker.open()
        if step >= Step.QUEUED:
            self.send(self._entry)
            self._first = self.world.connection()
        if step >= Step.SENDING:
            self._first.open()
        if step >= Step.SENT:
            self._run()
        if step >= Step.ANSWERING:
            self._answer(HALF)
        if step >= Step.ANSWERED:
            self._answer(len(call_world.ANSWER))

    def strike(self, fault: Fault) -> None:
        world = self.world
        match fault:
            case Fault.TARGET_KILLED:
                self._lose()
            case Fault.TARGET_FROZEN:
                self._is_frozen = True
            case Fault.TARGET_CUT:
                self._run()
                self._lose()
            case Fault.REPLY_LOST:
                world.mute.add(HOME)
            case Fault.DUPLICATE:
                self.send('c')
                self.send('a')
            case Fault.HOME_CRASHED:
                world.mute.add(HOME)
                world.unreachable.add(HOME)
            case Fault.HOME_RESTARTED:
                world.start(HOME, 'second')
                # Serials restart, so this ticket equals the old one.
                world.calls[HOME].new_ticket()
            case Fault.CALLER_GONE:
                for result in self.results:
                    result.deferred.cancel()
            case Fault.STORE_DOWN:
                pass

    def make_progress(self) -> None:
        """Let all working parts make progress."""
        if self._blocker is not None and self._blocker.transport.connected:
            self._blocker.reply(call_world.ANSWER)
        if not self._is_frozen and self._first is not None:
            self._drive(self._first)
        while (connection := self.world.connection()) is not None:
            if self._is_frozen:
                continue
            connection.open()
            connection.run()
            connection.reply(call_world.ANSWER)

    def pass_time(self, seconds: int) -> None:
        for _ in range(seconds * 2):
            self.make_progress()
            self.world.reactor.advance(0.5)

    def _drive(self, connection: call_world.Connection) -> None:
        if connection.transport.connected:
            if connection.is_open:
                self._run()
                self._answer(len(call_world.ANSWER))

    def _run(self) -> None:
        first = self._first
        if first is not None and first.is_open and not self._has_run:
            first.run()
            self._has_run = True

    def _answer(self, until: int) -> None:
        if self._first.transport.connected:
            self._first.reply(call_world.ANSWER[self._sent : until])
        self._sent = max(self._sent, until)

    def _lose(self) -> None:
        if self._first is not None:
            self._first.lose()


class OnceTest(unittest.TestCase):
    @params(*itertools.product(Step, Fault, ('a', 'b')))
    def test_runs_at_most_once(
        self, step: Step, fault: Fault, entry: str
    ) -> None:
        # Guards against running a charge twice or misreporting its outcome
        # when a fault occurs at any step and the caller retries through other
        # instances.
        flow = Flow(entry)
        flow.reach(step)
        flow.strike(fault)
        flow.pass_time(1)
        flow.send('c')
        flow.pass_time(12)
        flow.world.mute.clear()
        last = flow.send('b')
        flow.pass_time(40)
        runs = flow.world.runs['r']
        self.assertLessEqual(runs, 1)
        for result in flow.results:
            self.assertTrue(result.is_settled)
            if result.answer is not None:
                self.assertEqual((1, b'paid'), (runs, result.answer.body))
            elif getattr(result.error, 'not_run', False):
                self.assertEqual(0, runs)
        if fault in HARMLESS:
            self.assertIsNotNone(last.answer, last.error)

    @params(Fault.REPLY_LOST, Fault.CALLER_GONE)
    def test_returns_the_outcome(self, fault: Fault) -> None:
        # Guards against losing the answer of a call whose reply was lost or
        # whose caller disconnected; the query must start nothing.
        flow = Flow()
        flow.reach(Step.SENDING)
        flow.strike(fault)
        flow.pass_time(12)
        flow.world.mute.clear()
        outcome = call_world.Result(
            flow.world.calls[InstanceId('c')].outcome(
                flow.ticket, RequestId('r')
            )
        )
        self.assertEqual('answered', outcome.answer.outcome)
        self.assertEqual(b'paid', outcome.answer.answer.body)

    def test_late_outcome_can_be_queried(self) -> None:
        # Guards against losing an answer that arrives after the deadline.
        flow = Flow()
        flow.reach(Step.SENT)
        flow.world.reactor.advance(10.0)
        error = flow.results[0].error
        self.assertIsInstance(error, errors.OutcomeUnknown)
        flow.world.reactor.advance(10.0)
        flow.make_progress()
        outcome = call_world.Result(
            flow.world.calls[HOME].outcome(flow.ticket, RequestId('r'))
        )
        self.assertEqual('answered', outcome.answer.outcome)

    def test_forwards_a_refusal_of_the_home(self) -> None:
        # Guards against reporting a refused call as unknown, and against
        # running it later under the same number.
        flow = Flow()
        result = flow.send('b')
        while (connection := flow.world.connection()) is not None:
            connection.lose()
        self.assertIsInstance(result.error, errors.NotRun)
        self.assertIsNotNone(result.error.retry_after)
        repeated = flow.send('c')
        flow.make_progress()
        self.assertIsInstance(repeated.error, errors.NotRun)
        self.assertEqual(0, flow.world.runs['r'])

    def test_runs_once_with_an_outdated_configuration(self) -> None:
        # Guards against a second attempt while the configuration still lists
        # the path as repeatable; the ticket alone must prevent it.
        flow = Flow()
        result = flow.world.send('a', flow.ticket, path='newly-listed')
        first = flow.world.connection()
        assert first is not None
        first.open()
        first.run()
        first.lose()
        flow.pass_time(1)
        self.assertIsInstance(result.error, errors.OutcomeUnknown)
        self.assertEqual(1, flow.world.runs['r'])


class RepeatableTest(unittest.TestCase):
    def test_never_says_not_run_after_an_attempt_ran(self) -> None:
        # Guards against reporting a call as not run when only the last of its
        # attempts did not run.
        world = call_world.World()
        result = world.send('a', None, path='status')
        first = world.connection()
        assert first is not None
        first.open()
        first.run()
        first.lose()
        second = world.connection()
        assert second is not None
        second.lose()
        self.assertIsInstance(result.error, errors.OutcomeUnknown)

    def test_refuses_an_answer_that_may_be_cut(self) -> None:
        # Guards against delivering a truncated answer when the target ends it
        # by closing the connection.
        world = call_world.World()
        result = world.send('a', None, path='status')
        first = world.connection()
        assert first is not None
        first.open()
        first.reply(b'HTTP/1.1 200 OK\r\n\r\npa')
        first.lose(internet_error.ConnectionDone())
        second = world.connection()
        assert second is not None
        second.open()
        second.reply(call_world.ANSWER)
        self.assertEqual(b'paid', result.answer.body)
