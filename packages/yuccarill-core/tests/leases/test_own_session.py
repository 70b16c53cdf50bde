"""Test until when a session may be used."""

from __future__ import annotations

import itertools
import unittest

from nose2.tools import params

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import own_session
from yuccarill.core.leases import policy as policy_module

POLICY = policy_module.LeasePolicy()
SENT = Instant(50.0)


class OwnSessionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.own = own_session.OwnSession(
            InstanceId('a'), Incarnation('a1'), POLICY, itertools.count(1)
        )
        self._complete(operations.Found(0, b''), SENT, SENT)

    def _complete(
        self, outcome: operations.Outcome, sent: Instant, now: Instant
    ) -> operations.Operation:
        operation = self.own.next_operation(sent, True)
        assert operation is not None
        self.own.complete(operation, outcome, now)
        return operation

    def _is_usable_for(self, seconds: float) -> bool:
        return self.own.is_usable(Instant(SENT + seconds))

    @params(0.0, 1.9, 5.0)
    def test_slow_reply_does_not_extend_the_deadline(
        self, delay: float
    ) -> None:
        # Counting the deadline from a slow reply, not from the sending of
        # the renewal, would let two instances hold the shards.
        self._complete(operations.Written(1), SENT, Instant(SENT + delay))
        self.assertTrue(self._is_usable_for(POLICY.usable_time - 0.01))
        self.assertFalse(self._is_usable_for(POLICY.usable_time))

    def test_lost_reply_is_confirmed_by_reading_the_record(self) -> None:
        # A renewal confirmed by a read counts from its sending, not from
        # the read.
        opened = self._complete(operations.Unknown(), SENT, Instant(SENT + 2))
        assert opened.step is Step.OPEN and opened.value is not None
        self.assertFalse(self._is_usable_for(2.0))
        later = Instant(SENT + 3)
        self._complete(operations.Found(1, opened.value), later, later)
        self.assertTrue(self._is_usable_for(POLICY.usable_time - 0.01))
        self.assertFalse(self._is_usable_for(POLICY.usable_time))
