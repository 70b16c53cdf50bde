"""Test how the outcomes of calls change the verdict on a request."""

from __future__ import annotations

import dataclasses

from nose2.tools import params

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId
from yuccarill.daemon.gateway.quarantine import detector
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import watched_calls
from yuccarill.platform import calls

from . import world

CALL = calls.TargetCall(id=RequestId('r'), method='POST', target='/p')
TARGET = world.engine('x')


def answer(status: int, not_run: bool = False) -> TargetAnswer:
    return TargetAnswer(
        status=status, headers=(), body=b'', signature='s', not_run=not_run
    )


@dataclasses.dataclass
class Calls:
    """Return or raise a fixed outcome for each call."""

    end: TargetAnswer | calls.CallFailed

    async def send(self, *_: object) -> TargetAnswer:
        if isinstance(self.end, calls.CallFailed):
            raise self.end
        return self.end

    async def is_target_down(self, target: ListedTarget) -> bool:
        return True


class WatchedCallsTest(world.WorldTest):
    def send(self, end: TargetAnswer | calls.CallFailed) -> Verdict:
        """Return the verdict on a content with one earlier crash."""
        content_guard = guard.ContentGuard(self.state('a'), self.clock)
        content_guard.record_crash(
            CrashReport(target=TargetId('t0'), contents=(CALL.content,))
        )
        plain = Calls(end)
        watched = watched_calls.WatchedCalls(
            plain,
            detector.CrashDetector(plain, content_guard, self.clock),
            content_guard,
        )
        try:
            self.finish(watched.send(TARGET, CALL, Instant(1.0)))
        except calls.CallFailed:
            pass
        self.assertEqual(
            frozenset(),
            content_guard.targets_to_avoid(RequestId('another')),
            'it runs',
        )
        return content_guard.ledger.verdict(CALL.content)

    # An answer, and whether it shows that a target can complete the request.
    @params(
        (answer(200), True),
        (answer(404), True),
        (answer(422), True),
        # From a target that fails on every request, or stopped before the end.
        (answer(500), False),
        (answer(504), False),
        (answer(503, not_run=True), False),
        (answer(421, not_run=True), False),
    )
    def test_answers_that_clear_a_content(
        self, end: TargetAnswer, clears: bool
    ) -> None:
        expected = Verdict.CLEAR if clears else Verdict.WATCHED
        self.assertEqual(expected, self.send(end))

    # Whether the connection to a crashed target was lost, and the verdict.
    @params((True, Verdict.SUSPECT), (False, Verdict.WATCHED))
    def test_only_a_lost_connection_counts(
        self, is_connection_lost: bool, expected: Verdict
    ) -> None:
        end = calls.CallFailed(
            calls.CallEnd.BROKEN,
            'cause',
            is_connection_lost=is_connection_lost,
        )
        self.assertEqual(expected, self.send(end))
