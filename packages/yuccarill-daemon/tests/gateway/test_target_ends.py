"""Test how a target that ended is told from a connection that was cut."""

from __future__ import annotations

import dataclasses

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import RequestId
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import target_ends

from . import world

TARGET = world.engine('x')


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


async def _result(work: defer.Deferred) -> object:
    return await work
