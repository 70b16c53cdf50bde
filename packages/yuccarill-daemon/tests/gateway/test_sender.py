"""Test how an idempotent request finds a target that answers."""

from __future__ import annotations

import dataclasses
from unittest import mock

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.calls import pool as pool_module
from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.gateway.targets import TargetList
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.requests import exchange
from yuccarill.daemon.gateway.requests import pools
from yuccarill.daemon.gateway.requests import sender
from yuccarill.platform import calls

from . import world

NOW = Instant(1.0)
CALL = calls.TargetCall(id=RequestId('r'), method='POST', target='/p')


def answer(status: int = 200, not_run: bool = False) -> TargetAnswer:
    return TargetAnswer(
        status=status,
        headers=(),
        body=b'',
        signature='signed',
        not_run=not_run,
    )


@dataclasses.dataclass
class Targets:
    """Answer calls as each target is told to."""

    clock: task.Clock
    # Seconds, and what comes then.
    replies_by_id: dict
    called: list[str] = dataclasses.field(default_factory=list)
    cancelled: list[str] = dataclasses.field(default_factory=list)

    def is_connected(self, target: ListedTarget) -> bool:
        return False

    async def send(
        self, target: ListedTarget, call: object, answer_by: Instant
    ) -> TargetAnswer:
        self.called.append(target.id)
        seconds, reply = self.replies_by_id[target.id]
        left = answer_by - self.clock.seconds()
        try:
            await task.deferLater(self.clock, min(seconds, left))
        except defer.CancelledError:
            self.cancelled.append(target.id)
            raise
        if seconds > left:
            raise calls.CallFailed(calls.CallEnd.BROKEN, 'too late')
        if isinstance(reply, calls.CallEnd):
            raise calls.CallFailed(reply, reply.value)
        if isinstance(reply, calls.CallFailed):
            raise reply
        return reply


class NoBudget:
    """Allow one attempt."""

    def may_try_again(self) -> bool:
        return False

    def may_hedge(self) -> bool:
        return False

    def refusal(self, cause: str) -> errors.NotRun:
        return errors.Overloaded(cause, 0.1)


class SenderTest(world.WorldTest):
    entry: port.Entry = port.OPEN
    # Targets that have ended under the request.
    known_ends: list[str] = []

    def send(self, max_attempts: int = 2, **replies: object) -> TargetAnswer:
        state = self.state('a')
        state.targets.targets_by_id.clear()
        for name in replies:
            state.targets.put(world.engine(name))
        self.targets = Targets(
            self.clock, {TargetId(n): r for n, r in replies.items()}
        )
        self.record = exchange.SendRecord()
        self.guard = guard.ContentGuard(state, self.clock)
        for target in self.known_ends:
            self.guard.target_ended(
                CrashReport(target=TargetId(target), contents=(CALL.content,))
            )
        sending = sender.Sender(
            pools.Pools(state), self.targets, self.guard, self.clock
        )
        plan = attempts.AttemptPlan(
            deadline=Instant(self.clock.seconds() + 1.0),
            max_attempts=max_attempts,
            hedge_delay=0.06,
        )
        self.started_at = self.clock.seconds()
        return self.finish(
            sending.send(world.SERVICE, CALL, plan, self.record, self.entry)
        )

    def took(self) -> float:
        return self.clock.seconds() - self.started_at

    def test_the_first_answer_is_enough(self) -> None:
        self.send(x=(0.02, answer()), y=(0.02, answer()))
        self.assertEqual(1, len(self.targets.called))

    @params(
        (9.0, answer()),
        (0.01, calls.CallEnd.NOT_SENT),
        (0.01, calls.CallEnd.BROKEN),
        (0.01, answer(503, not_run=True)),
        (0.01, answer(500)),
    )
    def test_a_failed_or_dark_target_costs_a_second_attempt(
        self, seconds: float, reply: object
    ) -> None:
        """A rider waits at a locked gate while one target is in trouble.

        1. The first target does not answer, refuses, breaks off or fails.
        2. A second one is asked, at once or after the hedge's delay.
        """
        for _ in range(10):
            found = self.send(bad=(seconds, reply), good=(0.02, answer()))
            self.assertEqual(200, found.status)
            self.assertLess(self.took(), 0.15)

    def test_no_second_attempt_without_a_budget(self) -> None:
        """Guard against five sends of a request to targets that are full."""
        refused = answer(503, not_run=True)
        self.entry = NoBudget()
        with self.assertRaises(errors.Overloaded):
            self.send(5, x=(0.0, refused), y=(0.0, refused), z=(0.0, refused))
        self.assertEqual(1, len(self.targets.called))

    def test_no_hedge_without_a_budget(self) -> None:
        """Guard against hedges that take the places of first attempts."""
        self.entry = NoBudget()
        self.send(x=(0.3, answer()), y=(0.3, answer()))
        self.assertEqual(1, len(self.targets.called))

    def test_the_slower_attempt_is_cancelled(self) -> None:
        self.send(x=(0.09, answer()), y=(0.09, answer()))
        self.assertEqual(2, len(self.targets.called))
        self.assertEqual(1, len(self.targets.cancelled))

    def test_no_more_attempts_than_the_route_allows(self) -> None:
        refused = answer(503, not_run=True)
        with self.assertRaises(errors.NotRun):
            self.send(2, x=(0.0, refused), y=(0.0, refused), z=(0.0, refused))
        self.assertEqual(2, len(self.targets.called))

    def test_a_target_that_was_not_reached_does_not_count(self) -> None:
        """A caller was refused beside a target that could have served it.

        1. Two of three targets are gone and still listed.
        2. The request may be sent to two, and both refuse its connection.
        3. It was sent to none of them, and goes to the third.
        """
        gone = (0.001, calls.CallEnd.NOT_SENT)
        for _ in range(10):
            found = self.send(2, x=gone, y=gone, z=(0.02, answer()))
            self.assertEqual(200, found.status)

    def test_targets_that_are_all_gone_are_asked_once_each(self) -> None:
        gone = (0.001, calls.CallEnd.NOT_SENT)
        with self.assertRaises(errors.NotRun):
            self.send(2, x=gone, y=gone, z=gone)
        self.assertEqual(['x', 'y', 'z'], sorted(self.targets.called))

    def test_a_request_under_which_a_target_ended_is_not_hedged(self) -> None:
        """A request that ends its targets ended two at once.

        1. A target ended under it before.
        2. The first attempt is slow; a second one is not sent beside it.
        """
        self.known_ends = ['t0']
        found = self.send(x=(0.5, answer()), y=(0.5, answer()))
        self.assertEqual(200, found.status)
        self.assertEqual(1, len(self.targets.called))

    def test_a_quarantined_request_is_sent_to_none(self) -> None:
        self.known_ends = ['t0', 't1', 't2']
        with self.assertRaises(errors.RequestQuarantined):
            self.send(x=(0.02, answer()), y=(0.02, answer()))
        self.assertEqual([], self.targets.called)
        self.assertLess(self.took(), 0.05)

    def test_refused_everywhere_is_not_run_and_told_at_once(self) -> None:
        refused = answer(503, not_run=True)
        with self.assertRaises(errors.NotRun) as caught:
            self.send(2, x=(0.01, refused), y=(0.01, refused))
        self.assertLess(self.took(), 0.1)
        self.assertIsNotNone(caught.exception.retry_after)

    def test_what_may_have_run_is_never_called_not_run(self) -> None:
        broken = calls.CallEnd.BROKEN
        refused = answer(503, not_run=True)
        with self.assertRaises(errors.OutcomeUnknown):
            self.send(2, x=(0.01, broken), y=(0.01, refused))

    def test_no_answer_in_time(self) -> None:
        with self.assertRaises(errors.DeadlinePassed):
            self.send(2, x=(9.0, answer()), y=(9.0, answer()))
        self.assertAlmostEqual(1.0, self.took(), delta=0.05)

    def test_a_targets_own_failure_is_passed_on(self) -> None:
        found = self.send(2, x=(0.0, answer(500)), y=(0.0, answer(500)))
        self.assertEqual(500, found.status)
        self.assertEqual(2, self.record.failed_runs)

    def test_running_out_of_time_is_no_failed_run(self) -> None:
        # A scorer that answers 504 three times has not failed the item.
        self.send(2, x=(0.0, answer(504)), y=(0.0, answer(504)))
        self.assertEqual(0, self.record.failed_runs)

    def test_without_targets_nothing_waits(self) -> None:
        with self.assertRaises(errors.NotRun):
            self.send(2)
        self.assertLess(self.took(), 0.05)


class GoneTest(world.WorldTest):
    """All targets of a service are gone and still listed."""

    # What a request meets at the address of a target that is gone.
    @params(
        calls.CallFailed(calls.CallEnd.NOT_SENT, 'refused', is_refused=True),
        TargetAnswer(
            status=421,
            headers=(),
            body=b'',
            signature=None,
            not_run=True,
            is_from_other_process=True,
        ),
    )
    def test_they_are_asked_now_and_then(self, met: object) -> None:
        """Targets were asked a thousand times a second for nothing.

        1. All targets are gone, and the list shows it a second later.
        2. Texts wait for their scores and ask again each 0.2 s.
        3. Each target is asked once in half a second, for all of them.
        """
        state = self.state('a')
        state.targets.remove(TargetId('e1'))
        replies = {TargetId(name): (0.001, met) for name in 'xyz'}
        for name in replies:
            state.targets.put(world.engine(name))
        targets = Targets(self.clock, replies)
        sending = sender.Sender(
            pools.Pools(state),
            targets,
            guard.ContentGuard(state, self.clock),
            self.clock,
        )
        for _ in range(100):
            plan = attempts.AttemptPlan(
                deadline=Instant(self.clock.seconds() + 1.0),
                max_attempts=2,
                hedge_delay=0.06,
            )
            with self.assertRaises(errors.NotRun):
                self.finish(
                    sending.send(
                        world.SERVICE, CALL, plan, exchange.SendRecord()
                    )
                )
        self.assertLessEqual(len(targets.called), 3 + 6 * self.clock.seconds())


class PoolsTest(world.WorldTest):
    """A service has 1,300 targets, as the users' growth asks for."""

    def test_a_pool_is_brought_up_to_date_by_changes_only(self) -> None:
        """Choosing a target took 90 ms.

        1. Each request brought its pool up to date with all targets.
        2. Nothing had changed since the request before.
        """
        state = self.state('a')
        for number in range(1300):
            state.targets.put(world.engine(f't{number}'))
        known = pools.Pools(state)
        pool = known.pool(world.SERVICE, Instant(0.0))
        with mock.patch.object(pool, 'update', wraps=pool.update) as update:
            for _ in range(20):
                known.pool(world.SERVICE, Instant(1.0))
            update.assert_not_called()
            state.targets.remove(TargetId('t7'))
            known.pool(world.SERVICE, Instant(1.0))
            update.assert_called_once()
        self.assertEqual(1300, len(pool))


class StartedAgainTest(world.WorldTest):
    """A plain target's process ends and starts again under the same id.

    1. The target failed twice and is left out.
    2. Another process starts under its id; the list shows it.
    3. A request to the process before ends only now.
    """

    def setUp(self) -> None:
        super().setUp()
        state = self.state('a')
        self.listed = state.targets = TargetList()
        self.pools = pools.Pools(state)
        self.old = world.started('t0', 1)
        for target in (self.old, world.started('t1', 1)):
            self.listed.put(target)
        self.pool = self.pools.pool(world.SERVICE, NOW)
        self.pool.record_failure(
            self.old.id, pool_module.Failure.DISCONNECTED, NOW
        )

    def test_it_is_not_left_out_for_its_predecessor(self) -> None:
        self.assertEqual(1, self.pool.usable)
        self.listed.put(world.started('t0', 2))
        self.assertEqual(2, self.pools.pool(world.SERVICE, NOW).usable)

    def test_what_was_sent_to_its_predecessor_says_nothing_of_it(self) -> None:
        self.assertTrue(self.pools.is_current(self.old))
        self.listed.put(world.started('t0', 2))
        self.assertFalse(self.pools.is_current(self.old))
