"""Test queues, extra attempts and targets that come and go."""

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
        # An operator takes a target out of the inventory. The next call
        # goes elsewhere although the target would have been chosen.
        self.world.configure(HOME, (82,))
        for _ in range(5):
            self.send()
            self.assertEqual(82, self.connection().port)

    def test_slow_call_gets_a_second_attempt_and_keeps_its_first(self) -> None:
        # A target takes a call and stays silent. A second attempt goes to
        # the other target within the time, and the first answer counts;
        # the silent connection is closed.
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
        # All targets refuse. Were each call tried three times, targets
        # that come back would meet three times their load.
        self.world.configure(HOME, FAST)
        for _ in range(200):
            self.send()
            while (made := self.world.connection()) is not None:
                made.lose()
        self.assertLessEqual(self.world.opened, 200 + 10 + 20 + 1)

    def test_caller_that_went_away_frees_its_place(self) -> None:
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
        made = self.world.connection()
        assert made is not None
        made.open()
        made.reply(call_world.ANSWER)

    def test_queued_calls_go_on_in_turn(self) -> None:
        results = [self.send() for _ in range(3)]
        for result in results:
            self.assertFalse(result.is_settled)
            self.end()
            self.assertEqual(b'paid', result.answer.body)

    def test_sheds_internal_calls_first_and_tells_them_at_once(self) -> None:
        # Internal calls wait when riders' calls come. The newest internal
        # one is refused, not run, with a time to come back; none is lost.
        self.send()
        internal = [self.send(is_internal=True) for _ in range(2)]
        rider = self.send()
        self.assertIsInstance(internal[1].error, errors.Overloaded)
        self.assertIsNotNone(internal[1].error.retry_after)
        self.end()
        self.end()
        self.assertIsNotNone(rider.answer)
        self.end()
        self.assertIsNotNone(internal[0].answer)

    def test_gives_up_a_queued_call_before_its_deadline(self) -> None:
        # The one place is held by a charge whose target is silent, past its
        # caller's deadline. The queued call is told in time that it has
        # not run.
        ticket = str(self.world.calls[HOME].new_ticket())
        self.world.send('a', ticket)
        charge = self.world.connection()
        assert charge is not None
        charge.open()
        queued = self.send()
        self.world.reactor.advance(10.0)
        self.assertTrue(queued.error.not_run)
        self.assertEqual(1, len(self.world.reactor.connecting))

    def test_queued_caller_that_went_away_is_not_sent(self) -> None:
        self.send()
        gone = self.send()
        gone.deferred.cancel()
        self.end()
        self.assertEqual(1, len(self.world.reactor.connecting))
        self.send()
        self.end()

    def test_ending_instance_refuses_what_waits(self) -> None:
        # The operator sends a second SIGTERM. The call at the target may
        # still be answered; those behind it are told that they did not
        # run, and are not sent when their turn would come.
        running = self.send()
        waiting = [self.send(), self.send()]
        self.world.calls[HOME].refuse_waiting()
        self.assertEqual([True, True], [w.error.not_run for w in waiting])
        self.end()
        self.assertIsNotNone(running.answer)
        self.assertEqual(1, len(self.world.reactor.connecting))

    def test_long_queue_of_refused_calls_ends(self) -> None:
        # Each call ends at once, which lets the next one in. That must
        # not nest with the length of the queue.
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
