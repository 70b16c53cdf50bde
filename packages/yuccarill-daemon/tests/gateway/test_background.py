"""Test that background work goes on after unexpected errors."""

from __future__ import annotations

import unittest

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon.gateway import background


class BackgroundTest(unittest.TestCase):
    """Guard against an error that ends a task for the process's lifetime."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.starts = 0

    def start(self, *errors: Exception) -> defer.Deferred:
        async def work() -> None:
            self.starts += 1
            if self.starts <= len(errors):
                raise errors[self.starts - 1]
            await defer.Deferred()

        return defer.Deferred.fromCoroutine(
            background.keep_running(work, 'work', self.clock)
        )

    @params(ValueError('x'), RecursionError('x'), KeyError('x'))
    def test_work_starts_again_after_an_error(self, error: Exception) -> None:
        running = self.start(error, error)
        self.clock.pump([0.0] + [background.RESTART_SECONDS] * 5)
        self.assertEqual((3, False), (self.starts, running.called))

    def test_work_can_be_cancelled(self) -> None:
        running = self.start()
        running.addErrback(lambda found: found.trap(defer.CancelledError))
        running.cancel()
        self.clock.advance(10.0 * background.RESTART_SECONDS)
        self.assertEqual((1, True), (self.starts, running.called))

    def test_a_failed_step_does_not_end_the_repetition(self) -> None:
        def step() -> None:
            self.starts += 1
            raise ValueError('x')

        ticker = background.ticker(step, 'step', self.clock)
        ticker.start(1.0, now=False)
        self.clock.pump([1.0] * 4)
        ticker.stop()
        self.assertEqual(4, self.starts)
