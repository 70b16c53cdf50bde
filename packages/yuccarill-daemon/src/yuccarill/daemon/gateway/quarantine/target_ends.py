"""Find out whether a target ended under the calls that it had."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway import last_target_guard
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.gateway.unconfirmed_losses import UnconfirmedLoss
    from yuccarill.core.ids import RequestId
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.platform.calls import Calls

log = logs.for_part('ends')


@dataclasses.dataclass
class _Loss:
    """Gather the calls of one target whose connections were lost."""

    target: ListedTarget
    # In the order in which they were lost.
    requests_by_content: dict[ContentDigest, RequestId]
    waiting: list[defer.Deferred[bool]]


# Seconds after which a target is looked at where a call was given up. It may
# still have been at work on it, and is back some seconds after it ended.
GIVEN_UP_SECONDS = 1.5


class TargetEnds:
    """Tell a process that ended from a connection that was cut.

    A network that cuts connections leaves the process listening; one that
    crashed refuses the next connection, unless somebody else holds its port:
    a supervisor, or a proxy before it. Then the list of targets tells, some
    seconds later: another process at the same address. Seen by the port
    alone, a request that ends targets reached 30 of them behind such ports,
    and 1,145 of 1,307 others were not served.
    """

    def __init__(self, calls: Calls, guard: ContentGuard, clock: Any) -> None:
        self._calls = calls
        self._guard = guard
        self._clock = clock
        self._losses_by_target: dict[TargetId, _Loss] = {}
        self._looks_due: set[TargetId] = set()
        guard.on_end_learnt = self._learnt

    async def lost(
        self,
        target: ListedTarget,
        content: ContentDigest,
        request: RequestId,
    ) -> bool:
        """Note a call whose connection was lost; tell if its target ended."""
        ended: defer.Deferred[bool] = defer.Deferred()
        loss = self._losses_by_target.get(target.id)
        if loss is not None and loss.target.is_same_start(target):
            # All connections of a process end within one moment, and one
            # look is enough.
            loss.requests_by_content[content] = request
            loss.waiting.append(ended)
            return await ended
        loss = _Loss(target, {content: request}, [ended])
        self._losses_by_target[target.id] = loss
        # The look goes on if the call that began it is given up: its
        # caller's leaving does not undo the end.
        looking = defer.Deferred.fromCoroutine(self._look(loss))
        looking.addErrback(self._failed, loss)
        return await ended

    def gave_up(self, target: ListedTarget) -> None:
        """Look later whether a target ended under a call given up here."""
        if target.id not in self._looks_due:
            self._looks_due.add(target.id)
            self._clock.callLater(GIVEN_UP_SECONDS, self._look_late, target)

    def refused(self, target: TargetId) -> None:
        """Take word that no process listens where a target was."""
        given_up = self._given_up(target, self._now())
        if given_up:
            self._ended_given_up(target, given_up, 0.0)

    def _learnt(self, report: CrashReport) -> None:
        """Add to an end what this instance had given up at the target."""
        ended_at = Instant(self._now() - report.age)
        given_up = self._given_up(report.target, ended_at)
        if given_up:
            self._ended_given_up(report.target, given_up, report.age)

    def _look_late(self, target: ListedTarget) -> None:
        self._looks_due.discard(target.id)
        looking = defer.Deferred.fromCoroutine(self._look_given_up(target))
        looking.addErrback(self._look_failed)

    async def _look_given_up(self, target: ListedTarget) -> None:
        if await self._calls.has_ended(target):
            self.refused(target.id)

    def _given_up(
        self, target: TargetId, ended_at: Instant
    ) -> dict[ContentDigest, RequestId]:
        return self._guard.abandoned.pop_running_at(
            target, ended_at, self._now()
        )

    def _ended_given_up(
        self,
        target: TargetId,
        given_up: dict[ContentDigest, RequestId],
        age: float,
    ) -> None:
        log.info(
            'Target ended after calls were given up.',
            target=target,
            contents=tuple(given_up),
        )
        self._guard.target_ended(
            CrashReport(
                target=target,
                contents=tuple(given_up),
                requests_by_content=given_up,
                age=age,
            )
        )

    def _look_failed(self, failure: Any) -> None:
        log.error('Look failed.', cause=failure.getTraceback())

    async def _look(self, loss: _Loss) -> None:
        target = loss.target
        has_ended = await self._calls.has_ended(target)
        given_up = self._given_up(target.id, self._now())
        # Those that were lost come first: of many, not all are kept.
        loss.requests_by_content |= {
            content: request
            for content, request in given_up.items()
            if content not in loss.requests_by_content
        }
        contents = tuple(loss.requests_by_content)
        meters.LOSSES.labels(target.service, has_ended).inc()
        log.info(
            'Target ended.' if has_ended else 'Connection lost.',
            target=target.id,
            service=target.service,
            contents=contents,
        )
        if has_ended:
            self._guard.target_ended(
                CrashReport(
                    target=target.id,
                    contents=contents,
                    requests_by_content=loss.requests_by_content,
                )
            )
        else:
            self._doubt(target, loss.requests_by_content)
        self._end(loss, has_ended)

    def _doubt(
        self,
        target: ListedTarget,
        requests_by_content: dict[ContentDigest, RequestId],
    ) -> None:
        """Note lost calls of a target whose port is open all the same."""
        now = self._now()
        doubts = self._guard.doubts
        completed = self._guard.ledger.known_completed(
            requests_by_content, now
        )
        lost = {
            content: request
            for content, request in requests_by_content.items()
            if content not in completed
        }
        doubts.add(target, lost, now)
        for content in lost:
            told = doubts.reports(content, now)
            if len(told) >= last_target_guard.LOST_TARGETS:
                log.info(
                    'Lost at targets that are silent.',
                    content=content,
                    targets=tuple(each.target for each in told),
                )
                self._guard.on_doubted(told)

    def started(self, target: ListedTarget) -> None:
        """Take word of the list that a process has started somewhere."""
        now = self._now()
        for doubt in self._guard.doubts.pop_confirmed(target, now):
            self._ended_behind(doubt, now)

    def _ended_behind(self, doubt: UnconfirmedLoss, now: Instant) -> None:
        contents = tuple(doubt.requests_by_content)
        log.info(
            'Target ended behind its port.',
            target=doubt.target.id,
            service=doubt.target.service,
            contents=contents,
        )
        self._guard.target_ended(
            CrashReport(
                target=doubt.target.id,
                contents=contents,
                requests_by_content=doubt.requests_by_content,
                age=now - doubt.at,
            )
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def _failed(self, failure: Any, loss: _Loss) -> None:
        self._look_failed(failure)
        self._end(loss, has_ended=False)

    def _end(self, loss: _Loss, has_ended: bool) -> None:
        if self._losses_by_target.get(loss.target.id) is loss:
            del self._losses_by_target[loss.target.id]
        for waiting in loss.waiting:
            waiting.callback(has_ended)
