"""Test how a crashed target is told from a connection that was cut."""

from __future__ import annotations

import dataclasses

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import RequestId
from yuccarill.daemon.gateway.quarantine import detector
from yuccarill.daemon.gateway.quarantine import guard

from . import world

TARGET = world.engine('x')
X = ContentDigest('content')


@dataclasses.dataclass
class Checks:
    """Report after a delay whether a process listens."""

    clock: task.Clock
    has_listener: bool
    count: int = 0

    async def is_target_down(self, target: ListedTarget) -> bool:
        self.count += 1
        await task.deferLater(self.clock, 0.002)
        return not self.has_listener


class CrashDetectorTest(world.WorldTest):
    def crash_detector(self, checks: Checks) -> detector.CrashDetector:
        self.guard = guard.ContentGuard(self.state('a'), self.clock)
        return detector.CrashDetector(checks, self.guard, self.clock)

    @params((True, False), (False, True))
    def test_one_check_covers_calls_lost_together(
        self, has_listener: bool, has_ended: bool
    ) -> None:
        checks = Checks(self.clock, has_listener)
        crash_detector = self.crash_detector(checks)
        lost = [
            defer.Deferred.fromCoroutine(
                crash_detector.confirm_loss(
                    TARGET, ContentDigest(name), RequestId('r')
                )
            )
            for name in 'abc'
        ]
        self.run_for(0.01)
        found = [self.finish(_result(each)) for each in lost]
        self.assertEqual([has_ended] * 3, found)
        self.assertEqual(1, checks.count)

    def test_a_later_loss_is_checked_again(self) -> None:
        checks = Checks(self.clock, has_listener=True)
        crash_detector = self.crash_detector(checks)
        for _ in range(2):
            self.finish(
                crash_detector.confirm_loss(
                    TARGET, ContentDigest('a'), RequestId('r')
                )
            )
        self.assertEqual(2, checks.count)

    # Whether a process listens after a call was given up, and the verdict.
    @params((False, Verdict.WATCHED), (True, Verdict.CLEAR))
    def test_a_target_crashes_after_a_call_was_given_up(
        self, has_listener: bool, expected: Verdict
    ) -> None:
        """Guard against missing crashes of targets whose call timed out."""
        crash_detector = self.crash_detector(Checks(self.clock, has_listener))
        now = self.guard.now()
        self.guard.record_abandoned_run(
            TARGET.id, X, RequestId('r'), True, now
        )
        crash_detector.schedule_check(TARGET)
        self.run_for(detector.CHECK_SECONDS + 0.05)
        self.assertEqual(expected, self.guard.ledger.verdict(X))

    def test_a_crash_seen_by_a_peer_counts_for_calls_given_up_here(
        self,
    ) -> None:
        self.crash_detector(Checks(self.clock, has_listener=False))
        now = self.guard.now()
        self.guard.record_abandoned_run(
            TARGET.id, X, RequestId('r'), False, now
        )
        other = CrashReport(target=TARGET.id, contents=(ContentDigest('a'),))
        self.guard.record_peer_crashes([other])
        self.assertEqual(Verdict.WATCHED, self.guard.ledger.verdict(X))


async def _result(work: defer.Deferred) -> object:
    return await work
