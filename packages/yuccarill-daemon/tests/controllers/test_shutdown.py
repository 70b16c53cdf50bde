"""Test graceful shutdown with fakes of the other controllers."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.membership import shutdown as steps
from yuccarill.daemon.controllers import shutdown

POLICY = steps.StopPolicy(address_validity=5.0, stop_timeout=30.0)


class ShutdownControllerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.busy: list[str] = []
        self.released: defer.Deferred = defer.succeed(None)
        self.calls = mock.Mock()
        self.calls.release_all.side_effect = lambda: self.released
        self.site = mock.Mock(in_flight=0, open_connections=0)
        self.site.is_refusing = self.site.is_leaving = False
        self.blackboard = types.SimpleNamespace(
            is_leaving=False, serves_until=None
        )
        self.controller = shutdown.ShutdownController(
            self.blackboard,
            POLICY,
            self.calls,
            self.calls,
            self.calls,
            mock.Mock(active_samples=0, active_duties=lambda: self.busy),
            mock.Mock(requests_in_flight=0, close=mock.AsyncMock()),
            self.site,
            self.clock,
        )
        self.controller.ports.append(self.calls)
        self.calls.stopListening.return_value = None

    def stop(self) -> list[object]:
        outcome: list[object] = []
        stopped = defer.ensureDeferred(self.controller.stop())
        stopped.addBoth(outcome.append)
        return outcome

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def called(self) -> list[str]:
        return [call[0] for call in self.calls.method_calls]

    def test_order_of_steps(self) -> None:
        # Guards against closing the port while callers still use an address
        # that they cached before the instance left.
        outcome = self.stop()
        self.pass_time(0.05)
        self.assertTrue(self.blackboard.is_leaving)
        self.assertTrue(self.site.is_leaving)
        self.pass_time(7.5)
        self.assertEqual(['leave', 'release_all'], self.called())
        self.site.in_flight = 1
        self.pass_time(5.0)
        self.assertEqual([], outcome)
        self.assertNotIn('stopListening', self.called())
        self.site.in_flight = 0
        self.pass_time(1.0)
        self.assertEqual([steps.StopOutcome.COMPLETE], outcome)
        self.assertEqual('stopListening', self.called()[-1])
        self.site.close.assert_called_once_with()

    def test_step_in_progress_keeps_its_shard(self) -> None:
        self.busy.append('trainer/t')
        self.stop()
        self.pass_time(15.0)
        self.assertEqual(['leave'], self.called())
        self.busy.clear()
        self.pass_time(0.1)
        self.assertEqual(['leave', 'release_all'], self.called())

    @params('store hangs', 'store fails')
    def test_store_failure_does_not_block_shutdown(self, fault: str) -> None:
        # Guards against a store failure delaying the shutdown; the next
        # holders wait until the session expires.
        if fault == 'store fails':
            self.released = defer.fail(RuntimeError('down'))
        else:
            self.released = defer.Deferred()
        outcome = self.stop()
        self.pass_time(31.0)
        self.assertEqual([steps.StopOutcome.COMPLETE], outcome)

    def test_second_signal_refuses_and_ends(self) -> None:
        outcome = self.stop()
        self.site.in_flight = 1
        self.pass_time(2.0)
        self.stop()
        self.assertTrue(self.site.is_refusing)
        self.assertEqual(1, self.called().count('refuse_waiting'))
        self.pass_time(1.2)
        self.assertEqual([steps.StopOutcome.CUT], outcome)
        self.assertEqual(1, self.called().count('leave'))

    def test_slow_reader_gets_its_last_answer(self) -> None:
        # Guards against closing the connection of a slow reader too early, and
        # against waiting for it without a limit.
        self.site.open_connections = 1
        outcome = self.stop()
        self.pass_time(9.0)
        self.assertEqual([], outcome)
        self.site.open_connections = 0
        self.pass_time(0.1)
        self.assertEqual([steps.StopOutcome.COMPLETE], outcome)
