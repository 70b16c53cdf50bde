"""Test how a target that ended is told from a connection that was cut."""

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
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import target_ends

from . import world

TARGET = world.engine('x')
X = ContentDigest('content')


@dataclasses.dataclass
class Looks:
    """Say whether a process listens, after a moment."""

    clock: task.Clock
    has_listener: bool
    count: int = 0

    async def has_ended(self, target: ListedTarget) -> bool:
        self.count += 1
        await task.deferLater(self.clock, 0.002)
        return not self.has_listener


class TargetEndsTest(world.WorldTest):
    def ends(self, looks: Looks) -> target_ends.TargetEnds:
        self.guard = guard.ContentGuard(self.state('a'), self.clock)
        return target_ends.TargetEnds(looks, self.guard, self.clock)

    @params((True, False), (False, True))
    def test_one_look_tells_for_all_calls_of_a_moment(
        self, has_listener: bool, has_ended: bool
    ) -> None:
        looks = Looks(self.clock, has_listener)
        ends = self.ends(looks)
        lost = [
            defer.Deferred.fromCoroutine(
                ends.lost(TARGET, ContentDigest(name), RequestId('r'))
            )
            for name in 'abc'
        ]
        self.run_for(0.01)
        found = [self.finish(_result(each)) for each in lost]
        self.assertEqual([has_ended] * 3, found)
        self.assertEqual(1, looks.count)

    def test_another_moment_is_looked_at_anew(self) -> None:
        looks = Looks(self.clock, has_listener=True)
        ends = self.ends(looks)
        for _ in range(2):
            self.finish(ends.lost(TARGET, ContentDigest('a'), RequestId('r')))
        self.assertEqual(2, looks.count)

    # Whether a process listens after a call was given up, the verdict then.
    @params((False, Verdict.WATCHED), (True, Verdict.CLEAR))
    def test_a_target_ends_under_a_call_that_was_given_up(
        self, has_listener: bool, expected: Verdict
    ) -> None:
        """A request ended targets whose answers were not taken."""
        ends = self.ends(Looks(self.clock, has_listener))
        now = self.guard.now()
        self.guard.gave_up(TARGET.id, X, RequestId('r'), True, now)
        ends.gave_up(TARGET)
        self.run_for(target_ends.GIVEN_UP_SECONDS + 0.05)
        self.assertEqual(expected, self.guard.ledger.verdict(X))

    def test_an_end_that_others_see_counts_for_calls_given_up_here(
        self,
    ) -> None:
        self.ends(Looks(self.clock, has_listener=False))
        now = self.guard.now()
        self.guard.gave_up(TARGET.id, X, RequestId('r'), False, now)
        other = CrashReport(target=TARGET.id, contents=(ContentDigest('a'),))
        self.guard.take([other])
        self.assertEqual(Verdict.WATCHED, self.guard.ledger.verdict(X))


async def _result(work: defer.Deferred) -> object:
    return await work
