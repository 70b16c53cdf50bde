"""Test the inputs of a session's state machine in each state."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.leases import life_cycle
from yuccarill.core.leases.life_cycle import OwnState

# By state: the inputs that lead to it, and the states after close and end.
CASES = {
    OwnState.CLOSED: ((), 'CLOSED', 'CLOSED'),
    OwnState.OPENING: (('begin',), 'OPENING', 'CLOSED'),
    OwnState.OPEN: (('begin', 'confirm'), 'CLOSING', 'CLOSED'),
    OwnState.CLOSING: (('begin', 'confirm', 'close'), 'CLOSING', 'CLOSED'),
}


class LifeCycleTest(unittest.TestCase):
    @params(*OwnState)
    def test_close_and_end_are_accepted_in_each_state(
        self, state: OwnState
    ) -> None:
        # A session may be closed or revoked in any state; a rejected input
        # would raise an exception.
        inputs, after_close, after_end = CASES[state]
        for name, expected in (('close', after_close), ('end', after_end)):
            cycle = life_cycle.new()
            for step in inputs:
                getattr(cycle, step)()
            self.assertIs(state, cycle.state())
            getattr(cycle, name)()
            self.assertIs(OwnState[expected], cycle.state())
