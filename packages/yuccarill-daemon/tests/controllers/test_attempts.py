"""Test queues, retries, hedges and changes of targets."""

from __future__ import annotations

from typing import Any
import unittest

from controllers import call_world
from yuccarill.core.calls import admission
from yuccarill.core.calls import dispatcher
from yuccarill.core.calls import limit
from yuccarill.core import errors
from yuccarill.core.ids import InstanceId

HOME = InstanceId('a')
FAST = (81, 82, 83)


class AttemptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = call_world.World()

    def send(self, **more: Any) -> call_world.Result:
        return self.world.send('a', None, path='status', **more)

    def connection(self) -> call_world.Connection:
        found = self.world.connection()
        assert found is not None
        found.open()
        return found

    def test_removed_target_gets_no_new_work(self) -> None:
        # Guards against calls to a target removed from the inventory.
        self.world.configure(HOME, (82,))
        for _ in range(5):
            self.send()
            self.assertEqual(82, self.connection().port)

    def test_slow_call_gets_a_second_attempt_and_keeps_its_first(self) -> None:
        # Guards against a silent target delaying a call: a parallel attempt
        # goes to another target and the first answer counts.
        result = self.send()
        silent = self.connection()
        self.world.reactor.advance(4.0)
        second = self.connection()
        self.assertNotEqual(silent.port, second.port)
        second.reply(call_world.ANSWER)
        self.assertEqual(b'paid', result.answer.body)
        self.assertFalse(silent.transport.connected)

    def test_both_attempts_silent_end_at_the_deadline(self) -> None:
        result = self.send()
        self.connection()
        self.world.reactor.advance(4.0)
        self.connection()
        self.world.reactor.advance(6.0)
        self.assertIsInstance(result.error, errors.OutcomeUnknown)
        self.assertIsNotNone(result.error.retry_after)

    def test_retries_stay_within_the_budget(self) -> None:
        # Guards against retries multiplying the load on targets that recover.
        self.world.configure(HOME, FAST)
        for _ in range(200):
            self.send()
            while (connection := self.world.connection()) is not None:
                connection.lose()
        self.assertLessEqual(self.world.opened, 200 + 10 + 20 + 1)

    def test_disconnected_caller_frees_its_slot(self) -> None:
        result = self.send()
        connection = self.connection()
        result.deferred.cancel()
        self.assertFalse(connection.transport.connected)
        self.assertEqual(0, self.world.calls[HOME].active)


class QueueTest(unittest.TestCase):
    def setUp(self) -> None:
        one = limit.LimitPolicy(initial=1.0, lowest=1.0, highest=1.0)
        self.world = call_world.World(
            dispatcher.Policy(
                limit=one,
                admission=admission.AdmissionPolicy(queued=2, headroom=1.0),
            )
        )

    def send(self, is_internal: bool = False) -> call_world.Result:
        caller = call_world.INTERNAL if is_internal else None
        return self.world.send('a', None, path='status', caller=caller)

    def end(self) -> None:
        connection = self.world.connection()
        assert connection is not None
        connection.open()
        connection.reply(call_world.ANSWER)

    def test_queued_calls_run_in_order(self) -> None:
        results = [self.send() for _ in range(3)]
        for result in results:
            self.assertFalse(result.is_settled)
            self.end()
            self.assertEqual(b'paid', result.answer.body)

    def test_sheds_internal_calls_first_and_at_once(self) -> None:
        # Guards against shedding latency-sensitive calls before internal ones,
        # and against lost calls.
        self.send()
        internal = [self.send(is_internal=True) for _ in range(2)]
        urgent = self.send()
        self.assertIsInstance(internal[1].error, errors.Overloaded)
        self.assertIsNotNone(internal[1].error.retry_after)
        self.end()
        self.end()
        self.assertIsNotNone(urgent.answer)
        self.end()
        self.assertIsNotNone(internal[0].answer)

    def test_gives_up_a_queued_call_before_its_deadline(self) -> None:
        # Guards against keeping a queued call past its deadline while the only
        # slot is taken by a silent target.
        ticket = str(self.world.calls[HOME].new_ticket())
        self.world.send('a', ticket)
        charge = self.world.connection()
        assert charge is not None
        charge.open()
        queued = self.send()
        self.world.reactor.advance(10.0)
        self.assertTrue(queued.error.not_run)
        self.assertEqual(1, len(self.world.reactor.connecting))

    def test_call_of_disconnected_caller_is_not_sent(self) -> None:
        self.send()
        gone = self.send()
        gone.deferred.cancel()
        self.end()
        self.assertEqual(1, len(self.world.reactor.connecting))
        self.send()
        self.end()

    def test_stopping_instance_refuses_queued_calls(self) -> None:
        # Guards against running queued calls after a second SIGTERM; the call
        # in flight may still be answered.
        running = self.send()
        waiting = [self.send(), self.send()]
        self.world.calls[HOME].refuse_waiting()
        self.assertEqual([True, True], [w.error.not_run for w in waiting])
        self.end()
        self.assertIsNotNone(running.answer)
        self.assertEqual(1, len(self.world.reactor.connecting))

    def test_long_queue_of_refused_calls_ends(self) -> None:
        # Guards against recursion as deep as the queue when each call ends at
        # once and admits the next.
        policy = dispatcher.Policy(
            limit=limit.LimitPolicy(initial=1.0, lowest=1.0, highest=1.0),
            admission=admission.AdmissionPolicy(queued=2000, headroom=1.0),
        )
        self.world = call_world.World(policy)
        self.send()
        results = [self.send() for _ in range(1500)]
        self.world.reactor.refuses = True
        self.end()
        kinds = {type(r.error) for r in results}
        self.assertEqual({errors.NotRun}, kinds)
