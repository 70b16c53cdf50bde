"""Test that a session's life cycle takes what may happen in each state."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.leases import life_cycle
from yuccarill.core.leases.life_cycle import OwnState

# What leads to each state, and the states that each input leads to.
CASES = {
    OwnState.CLOSED: ((), 'CLOSED', 'CLOSED'),
    OwnState.OPENING: (('begin',), 'OPENING', 'CLOSED'),
    OwnState.OPEN: (('begin', 'confirm'), 'CLOSING', 'CLOSED'),
    OwnState.CLOSING: (('begin', 'confirm', 'close'), 'CLOSING', 'CLOSED'),
}


class LifeCycleTest(unittest.TestCase):
    @params(*OwnState)
    def test_close_and_end_are_taken_in_every_state(
        self, state: OwnState
    ) -> None:
        # A session is given up, or found to be revoked, at any moment. An
        # input that some state refused would break off the controller.
        inputs, after_close, after_end = CASES[state]
        for name, expected in (('close', after_close), ('end', after_end)):
            cycle = life_cycle.new()
            for step in inputs:
                getattr(cycle, step)()
            self.assertIs(state, cycle.state())
            getattr(cycle, name)()
            self.assertIs(OwnState[expected], cycle.state())
