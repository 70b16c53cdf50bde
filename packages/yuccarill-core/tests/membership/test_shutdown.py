"""Test the order and the limits of a graceful shutdown."""

from __future__ import annotations

import itertools
import unittest

import automat
from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.membership import shutdown

S = shutdown.StopStep
POLICY = shutdown.StopPolicy(address_validity=5.0, stop_timeout=30.0)
NOTHING = shutdown.InFlight()
REQUEST = shutdown.InFlight(requests=1)
STEP = shutdown.InFlight(steps=1)
SAMPLE = shutdown.InFlight(samples=1)
SHARD = shutdown.InFlight(shards=1)


def stop(work_by_time: dict[float, shutdown.InFlight], second_at=None):
    """Return when each step began, and the outcome."""
    stopping = shutdown.Shutdown(POLICY, Instant(0.0))
    began: dict[shutdown.StopStep, float] = {}
    in_flight = NOTHING
    for tick in range(400):
        now = tick / 4
        in_flight = work_by_time.get(now, in_flight)
        if now == second_at:
            stopping.shorten(Instant(now))
        began.setdefault(stopping.advance(Instant(now), in_flight), now)
    return began, stopping.outcome


# All transitions, by step and input, in the order of the steps.
NEXT_STEP = {
    (S.SERVING, 'leave'): S.LEAVING,
    (S.LEAVING, 'hand_over'): S.HANDING_OVER,
    (S.HANDING_OVER, 'finish'): S.FINISHING,
    (S.FINISHING, 'end'): S.ENDED,
}
INPUTS = ('leave', 'hand_over', 'finish', 'end')


def machine_at(step: shutdown.StopStep):
    """Return a shutdown and its machine, moved to a step."""
    stopping = shutdown.Shutdown(POLICY, Instant(0.0))
    machine = shutdown.StopMachine(stopping)
    for _, name in NEXT_STEP:
        if stopping.step is not step:
            getattr(machine, name)()
    return stopping, machine


class StopMachineTest(unittest.TestCase):
    @params(*itertools.product(S, INPUTS))
    def test_only_the_next_step_may_follow(self, step, name: str) -> None:
        stopping, machine = machine_at(step)
        self.assertIs(step, stopping.step)
        expected = NEXT_STEP.get((step, name))
        if expected is None:
            with self.assertRaises(automat.NoTransition):
                getattr(machine, name)()
        else:
            getattr(machine, name)()
        self.assertIs(expected or step, stopping.step)

    @params(*S)
    def test_advance_is_accepted_in_each_step(self, step) -> None:
        stopping, machine = machine_at(step)
        machine.advance(Instant(100.0), NOTHING)
        following = [new for (old, _), new in NEXT_STEP.items() if old is step]
        self.assertIs([*following, S.ENDED][0], stopping.step)


class ShutdownTest(unittest.TestCase):
    @params(
        ('idle', {}, None, 0.25, 8.25, 'complete'),
        (
            'request to the end',
            {1.0: REQUEST, 9.0: NOTHING},
            None,
            0.25,
            9.25,
            'complete',
        ),
        ('request too long', {1.0: REQUEST}, None, 0.25, 30.0, 'cut'),
        (
            'late short request',
            {8.0: REQUEST, 8.25: NOTHING},
            None,
            0.25,
            8.5,
            'complete',
        ),
        (
            'step in time',
            {0.0: STEP, 12.0: NOTHING},
            None,
            12.0,
            12.75,
            'complete',
        ),
        (
            'step too long',
            {0.0: STEP, 26.0: NOTHING},
            None,
            25.0,
            25.75,
            'complete',
        ),
        ('samples too long', {0.0: SAMPLE}, None, 0.25, 30.0, 'complete'),
        ('store down', {0.0: SHARD}, None, 0.25, 30.25, 'complete'),
        ('second signal', {}, 2.0, 0.25, 2.25, 'complete'),
        ('second signal, busy', {1.0: REQUEST}, 2.0, 0.25, 3.0, 'cut'),
        ('second signal, step', {0.0: STEP}, 2.0, 2.0, 2.75, 'complete'),
    )
    def test_times(self, name, work, second_at, handing, ended, outcome):
        began, found = stop(work, second_at)
        times = began[S.HANDING_OVER], began[S.ENDED]
        self.assertEqual((handing, ended), times, name)
        self.assertEqual(outcome, found.value, name)

    @params(*shutdown.StopStep)
    def test_second_signal_in_each_step(self, step) -> None:
        # A second signal must end the shutdown soon, at any step.
        work = {0.0: STEP, 4.0: SHARD, 6.0: REQUEST}
        began, _ = stop(work)
        at = began.get(step, 0.0)
        shortened, _ = stop(work, at)
        latest = at + POLICY.second_signal_timeout + 0.5
        self.assertLessEqual(shortened[S.ENDED], max(latest, began[S.ENDED]))
        if step not in (S.ENDED, S.FINISHING):
            self.assertLess(shortened[S.ENDED], began[S.ENDED])
