"""Detect whether a target crashed while it ran calls of this instance."""

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
class _LostCalls:
    """Hold the calls to one target whose connections were lost together."""

    target: ListedTarget
    # In the order of loss.
    requests_by_content: dict[ContentDigest, RequestId]
    waiters: list[defer.Deferred[bool]]


# Seconds after giving up a call at which its target is checked: the target
# can still crash under the call, and restarts within seconds of a crash.
CHECK_SECONDS = 1.5


class CrashDetector:
    """Tell crashed target processes from connections cut by the network.

    A crashed process refuses the next connection, unless a supervisor or proxy
    keeps its port open. Such crashes are confirmed seconds later, when the
    list of targets shows a new process at the same address.
    """

    def __init__(self, calls: Calls, guard: ContentGuard, clock: Any) -> None:
        self._calls = calls
        self._guard = guard
        self._clock = clock
        self._losses_by_target: dict[TargetId, _LostCalls] = {}
        self._targets_to_check: set[TargetId] = set()
        guard.on_peer_crash = self._handle_peer_crash

    async def confirm_loss(
        self,
        target: ListedTarget,
        content: ContentDigest,
        request: RequestId,
    ) -> bool:
        """Record a lost call and return whether its target has exited."""
        ended: defer.Deferred[bool] = defer.Deferred()
        loss = self._losses_by_target.get(target.id)
        if loss is not None and loss.target.is_same_start(target):
            # All connections of a process close together: one check is enough.
            loss.requests_by_content[content] = request
            loss.waiters.append(ended)
            return await ended
        loss = _LostCalls(target, {content: request}, [ended])
        self._losses_by_target[target.id] = loss
        # The check continues if the call that started it is cancelled: the
        # target may have crashed all the same.
        check = defer.Deferred.fromCoroutine(self._check_lost_calls(loss))
        check.addErrback(self._handle_check_failure, loss)
        return await ended

    def schedule_check(self, target: ListedTarget) -> None:
        """Check later whether a target crashed after a call was given up."""
        if target.id not in self._targets_to_check:
            self._targets_to_check.add(target.id)
            self._clock.callLater(CHECK_SECONDS, self._start_check, target)

    def record_refused_connection(self, target: TargetId) -> None:
        """Report calls given up at a target that refuses connections."""
        abandoned = self._pop_abandoned(target, self._now())
        if abandoned:
            self._report_abandoned(target, abandoned, 0.0)

    def _handle_peer_crash(self, report: CrashReport) -> None:
        """Report calls given up here at a target that a peer saw crash."""
        ended_at = Instant(self._now() - report.age)
        abandoned = self._pop_abandoned(report.target, ended_at)
        if abandoned:
            self._report_abandoned(report.target, abandoned, report.age)

    def _start_check(self, target: ListedTarget) -> None:
        self._targets_to_check.discard(target.id)
        check = defer.Deferred.fromCoroutine(self._check_abandoned(target))
        check.addErrback(self._log_check_failure)

    async def _check_abandoned(self, target: ListedTarget) -> None:
        if await self._calls.is_target_down(target):
            self.record_refused_connection(target.id)

    def _pop_abandoned(
        self, target: TargetId, ended_at: Instant
    ) -> dict[ContentDigest, RequestId]:
        return self._guard.abandoned.pop_running_at(
            target, ended_at, self._now()
        )

    def _report_abandoned(
        self,
        target: TargetId,
        abandoned: dict[ContentDigest, RequestId],
        age: float,
    ) -> None:
        log.info(
            'Target exited after calls to it were given up.',
            target=target,
            contents=tuple(abandoned),
        )
        self._guard.record_crash(
            CrashReport(
                target=target,
                contents=tuple(abandoned),
                requests_by_content=abandoned,
                age=age,
            )
        )

    def _log_check_failure(self, failure: Any) -> None:
        log.error('Target exit check failed.', cause=failure.getTraceback())

    async def _check_lost_calls(self, loss: _LostCalls) -> None:
        target = loss.target
        has_ended = await self._calls.is_target_down(target)
        abandoned = self._pop_abandoned(target.id, self._now())
        # Lost calls come first: a truncated report keeps its first contents.
        loss.requests_by_content |= {
            content: request
            for content, request in abandoned.items()
            if content not in loss.requests_by_content
        }
        contents = tuple(loss.requests_by_content)
        meters.LOST_CONNECTIONS.labels(target.service, has_ended).inc()
        log.info(
            'Target exited.' if has_ended else 'Target connection lost.',
            target=target.id,
            service=target.service,
            contents=contents,
        )
        if has_ended:
            self._guard.record_crash(
                CrashReport(
                    target=target.id,
                    contents=contents,
                    requests_by_content=loss.requests_by_content,
                )
            )
        else:
            self._record_unconfirmed_loss(target, loss.requests_by_content)
        self._resolve(loss, has_ended)

    def _record_unconfirmed_loss(
        self,
        target: ListedTarget,
        requests_by_content: dict[ContentDigest, RequestId],
    ) -> None:
        """Record lost calls of a target whose port is still open."""
        now = self._now()
        losses = self._guard.unconfirmed_losses
        completed = self._guard.ledger.known_completed(
            requests_by_content, now
        )
        lost = {
            content: request
            for content, request in requests_by_content.items()
            if content not in completed
        }
        losses.add(target, lost, now)
        for content in lost:
            reports = losses.reports(content, now)
            if len(reports) >= last_target_guard.LOST_TARGETS:
                log.info(
                    'Calls lost at several targets; none answered since.',
                    content=content,
                    targets=tuple(each.target for each in reports),
                )
                self._guard.on_lost_calls(reports)

    def handle_started_target(self, target: ListedTarget) -> None:
        """Report losses that a newly listed process confirms as crashes."""
        now = self._now()
        for loss in self._guard.unconfirmed_losses.pop_confirmed(target, now):
            self._report_confirmed(loss, now)

    def _report_confirmed(self, loss: UnconfirmedLoss, now: Instant) -> None:
        contents = tuple(loss.requests_by_content)
        log.info(
            'Target process was replaced while its port stayed open.',
            target=loss.target.id,
            service=loss.target.service,
            contents=contents,
        )
        self._guard.record_crash(
            CrashReport(
                target=loss.target.id,
                contents=contents,
                requests_by_content=loss.requests_by_content,
                age=now - loss.at,
            )
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def _handle_check_failure(self, failure: Any, loss: _LostCalls) -> None:
        self._log_check_failure(failure)
        self._resolve(loss, has_ended=False)

    def _resolve(self, loss: _LostCalls, has_ended: bool) -> None:
        if self._losses_by_target.get(loss.target.id) is loss:
            del self._losses_by_target[loss.target.id]
        for waiter in loss.waiters:
            waiter.callback(has_ended)
