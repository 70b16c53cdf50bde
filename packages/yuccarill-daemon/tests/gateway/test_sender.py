"""Test the retries and hedges of idempotent requests."""

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
from yuccarill.daemon.gateway.requests import hedged_request
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
    """Answer the calls of each target as configured."""

    clock: task.Clock
    # Delay in seconds, and the answer or error.
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
    """Allow no retry and no hedge."""

    def may_retry(self) -> bool:
        return False

    def may_hedge(self) -> bool:
        return False

    def refusal(self, cause: str) -> errors.NotRun:
        return errors.Overloaded(cause, 0.1)


class SenderTest(world.WorldTest):
    permit: port.SendPermit = port.UNLIMITED
    # Targets that crashed while running the request.
    crashed_targets: list[str] = []

    def send(self, max_attempts: int = 2, **replies: object) -> TargetAnswer:
        state = self.state('a')
        state.targets.targets_by_id.clear()
        for name in replies:
            state.targets.put(world.engine(name))
        self.targets = Targets(
            self.clock, {TargetId(n): r for n, r in replies.items()}
        )
        self.record = hedged_request.SendRecord()
        self.guard = guard.ContentGuard(state, self.clock)
        for target in self.crashed_targets:
            self.guard.record_crash(
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
            sending.send(world.SERVICE, CALL, plan, self.record, self.permit)
        )

    def elapsed(self) -> float:
        return self.clock.seconds() - self.started_at

    def test_no_second_attempt_after_a_fast_answer(self) -> None:
        self.send(x=(0.02, answer()), y=(0.02, answer()))
        self.assertEqual(1, len(self.targets.called))

    @params(
        (9.0, answer()),
        (0.01, calls.CallEnd.NOT_SENT),
        (0.01, calls.CallEnd.BROKEN),
        (0.01, answer(503, not_run=True)),
        (0.01, answer(500)),
    )
    def test_failed_or_silent_target_costs_a_second_attempt(
        self, seconds: float, reply: object
    ) -> None:
        """Guard against a failing target that delays or fails a request."""
        for _ in range(10):
            found = self.send(bad=(seconds, reply), good=(0.02, answer()))
            self.assertEqual(200, found.status)
            self.assertLess(self.elapsed(), 0.15)

    def test_no_second_attempt_without_a_budget(self) -> None:
        """Guard against retries that load targets without free slots."""
        refused = answer(503, not_run=True)
        self.permit = NoBudget()
        with self.assertRaises(errors.Overloaded):
            self.send(5, x=(0.0, refused), y=(0.0, refused), z=(0.0, refused))
        self.assertEqual(1, len(self.targets.called))

    def test_no_hedge_without_a_budget(self) -> None:
        """Guard against hedges that displace first attempts."""
        self.permit = NoBudget()
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

    def test_unreached_target_does_not_count_as_an_attempt(self) -> None:
        """Guard against a refusal while a reachable target is left."""
        unreachable = (0.001, calls.CallEnd.NOT_SENT)
        for _ in range(10):
            found = self.send(
                2, x=unreachable, y=unreachable, z=(0.02, answer())
            )
            self.assertEqual(200, found.status)

    def test_unreachable_targets_are_tried_once_each(self) -> None:
        unreachable = (0.001, calls.CallEnd.NOT_SENT)
        with self.assertRaises(errors.NotRun):
            self.send(2, x=unreachable, y=unreachable, z=unreachable)
        self.assertEqual(['x', 'y', 'z'], sorted(self.targets.called))

    def test_request_that_crashed_a_target_is_not_hedged(self) -> None:
        """Guard against a request that crashes two targets at once."""
        self.crashed_targets = ['t0']
        found = self.send(x=(0.5, answer()), y=(0.5, answer()))
        self.assertEqual(200, found.status)
        self.assertEqual(1, len(self.targets.called))

    def test_quarantined_request_is_not_sent(self) -> None:
        self.crashed_targets = ['t0', 't1', 't2']
        with self.assertRaises(errors.RequestQuarantined):
            self.send(x=(0.02, answer()), y=(0.02, answer()))
        self.assertEqual([], self.targets.called)
        self.assertLess(self.elapsed(), 0.05)

    def test_request_refused_by_all_targets_fails_fast_as_not_run(
        self,
    ) -> None:
        refused = answer(503, not_run=True)
        with self.assertRaises(errors.NotRun) as caught:
            self.send(2, x=(0.01, refused), y=(0.01, refused))
        self.assertLess(self.elapsed(), 0.1)
        self.assertIsNotNone(caught.exception.retry_after)

    def test_request_that_may_have_run_is_not_reported_as_not_run(
        self,
    ) -> None:
        broken = calls.CallEnd.BROKEN
        refused = answer(503, not_run=True)
        with self.assertRaises(errors.OutcomeUnknown):
            self.send(2, x=(0.01, broken), y=(0.01, refused))

    def test_no_answer_before_the_deadline(self) -> None:
        with self.assertRaises(errors.DeadlinePassed):
            self.send(2, x=(9.0, answer()), y=(9.0, answer()))
        self.assertAlmostEqual(1.0, self.elapsed(), delta=0.05)

    def test_error_response_of_a_target_is_returned(self) -> None:
        found = self.send(2, x=(0.0, answer(500)), y=(0.0, answer(500)))
        self.assertEqual(500, found.status)
        self.assertEqual(2, self.record.failed_runs)

    def test_timeout_response_is_not_a_failed_run(self) -> None:
        # A timeout does not show that the request itself fails.
        self.send(2, x=(0.0, answer(504)), y=(0.0, answer(504)))
        self.assertEqual(0, self.record.failed_runs)

    def test_request_without_targets_fails_fast(self) -> None:
        with self.assertRaises(errors.NotRun):
            self.send(2)
        self.assertLess(self.elapsed(), 0.05)


class AbsentTargetTest(world.WorldTest):
    """Test targets that are listed but absent from their addresses."""

    # Results of an attempt at the address of an absent target.
    @params(
        calls.CallFailed(
            calls.CallEnd.NOT_SENT, 'refused', is_connection_refused=True
        ),
        TargetAnswer(
            status=421,
            headers=(),
            body=b'',
            signature=None,
            not_run=True,
            is_from_other_process=True,
        ),
    )
    def test_absent_targets_are_tried_at_a_limited_rate(
        self, result: object
    ) -> None:
        """Guard against retries that flood the addresses of absent targets."""
        state = self.state('a')
        state.targets.remove(TargetId('e1'))
        replies = {TargetId(name): (0.001, result) for name in 'xyz'}
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
                        world.SERVICE, CALL, plan, hedged_request.SendRecord()
                    )
                )
        self.assertLessEqual(len(targets.called), 3 + 6 * self.clock.seconds())


class PoolsTest(world.WorldTest):
    """Test the pools of a service with many targets."""

    def test_pool_is_updated_on_changes_only(self) -> None:
        """Guard against a full pool update for each request."""
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


class RestartedTargetTest(world.WorldTest):
    """Test a target that restarts under the same id after failures."""

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

    def test_restarted_target_does_not_inherit_failures(self) -> None:
        self.assertEqual(1, self.pool.usable)
        self.listed.put(world.started('t0', 2))
        self.assertEqual(2, self.pools.pool(world.SERVICE, NOW).usable)

    def test_results_of_the_previous_process_are_ignored(self) -> None:
        self.assertTrue(self.pools.is_current(self.old))
        self.listed.put(world.started('t0', 2))
        self.assertFalse(self.pools.is_current(self.old))
