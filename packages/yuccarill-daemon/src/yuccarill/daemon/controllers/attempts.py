"""Try a call on targets until one answers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.calls import attempt as attempt_module
from yuccarill.core.calls.attempt import Step
from yuccarill.core.calls import deadlines
from yuccarill.core.calls.pool import Failure
from yuccarill.core import errors
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.daemon.adapters.target import TargetRequest
from yuccarill.daemon.controllers import lines
from yuccarill.daemon import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.calls.ledger import Answer
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Target
    from yuccarill.daemon.adapters.target import TargetAdapter

# Seconds past its caller's deadline for which a sent call that must not
# run again is listened to, so that its outcome can be asked for.
OUTCOME_SECONDS = 30.0
_UNAVAILABLE = 503


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one call of a plain service."""

    request_id: RequestId
    service: ServiceName
    path: str
    query: str = ''
    content_type: str
    body: bytes
    deadline: Instant
    ticket: str | None = None
    caller: CallerId | None = None


class AttemptController:
    """Run calls on targets and say truly how their attempts ended."""

    def __init__(
        self,
        all_lines: lines.Lines,
        targets: TargetAdapter,
        now: Callable[[], Instant],
        clock: Any,
    ) -> None:
        self._lines = all_lines
        self._targets = targets
        self._now = now
        self._clock = clock

    async def run(self, call: Call, is_repeatable: bool) -> Answer:
        """Return the answer of the first target that gives one.

        Raises an error that says not run only if no attempt sent a byte.
        """
        line = self._lines.of_service(call.service)
        caller = self._lines.caller(call.caller)
        entry = lines.Entry(caller=caller, deadline=call.deadline)
        if self._now() >= call.deadline:
            raise errors.DeadlinePassed(
                'The deadline passed before the call was sent.',
                retry_after=1.0,
            )
        await line.enter(entry)
        try:
            return await _Race(
                self._targets,
                line,
                entry,
                call,
                is_repeatable,
                self._now,
                self._clock,
            ).run()
        finally:
            line.leave()


class _Race:
    """Make attempts, one after or beside another, for one answer."""

    def __init__(
        self,
        targets: TargetAdapter,
        line: lines.Line,
        entry: lines.Entry,
        call: Call,
        is_repeatable: bool,
        now: Callable[[], Instant],
        clock: Any,
    ) -> None:
        self._targets = targets
        self._line = line
        self._entry = entry
        self._call = call
        self._is_repeatable = is_repeatable
        self._now = now
        self._clock = clock
        self._tried: frozenset[TargetId] = frozenset()
        self._open: list[defer.Deferred[None]] = []
        self._timers: list[Any] = []
        self._last: errors.YuccarillError | None = None
        self._may_have_run = False
        self._running = 0
        self._result: defer.Deferred[Answer] = defer.Deferred()

    async def run(self) -> Answer:
        """Return the first answer."""
        self._launch()
        try:
            return await self._result
        finally:
            for timer in self._timers:
                if timer.active():
                    timer.cancel()
            for work in self._open:
                work.cancel()

    def _launch(self) -> bool:
        target = self._line.choose(self._tried, self._entry)
        if target is None:
            if not self._running:
                self._end()
            return False
        self._tried |= {target.id}
        work = defer.ensureDeferred(self._attempt(target))
        if not work.called:
            self._open.append(work)
            work.addBoth(self._close, work)
            if self._is_repeatable:
                self._set_timers(len(self._open))
        return True

    def _close(self, result: Any, work: defer.Deferred[None]) -> None:
        if work in self._open:
            self._open.remove(work)

    async def _attempt(self, target: Engine | Target) -> None:
        step = Step.QUEUED

        def note(reached: Step) -> None:
            nonlocal step
            step = max(step, reached)

        begun_at = self._now()
        self._line.send(target.id)
        self._running += 1
        try:
            reply = await self._targets.call(
                target.address, self._request(), note
            )
        except Exception as cause:
            self._running -= 1
            error = cause
            if not isinstance(cause, errors.YuccarillError):
                error = errors.OutcomeUnknown(f'The call failed: {cause!r}.')
            if self._result.called:
                self._line.give_up(target.id)
                return
            self._fail(target.id, begun_at, step, error)
            return
        self._running -= 1
        if reply.answer.status == _UNAVAILABLE:
            self._line.fail(target.id, begun_at, Failure.REFUSED)
        else:
            self._line.answer(target.id, begun_at, reply.report)
        if not self._result.called:
            self._result.callback(reply.answer)

    def _request(self) -> TargetRequest:
        call = self._call
        late = 0.0 if self._is_repeatable else OUTCOME_SECONDS
        return TargetRequest(
            request_id=call.request_id,
            path=call.path,
            query=call.query,
            content_type=call.content_type,
            body=call.body,
            priority=self._entry.priority,
            attempt=len(self._tried),
            connect_by=call.deadline,
            answer_by=Instant(call.deadline + late),
        )

    def _fail(
        self,
        target: TargetId,
        begun_at: Instant,
        step: Step,
        error: errors.YuccarillError,
    ) -> None:
        self._line.fail(target, begun_at, self._failure(step))
        self._last = error
        self._may_have_run |= attempt_module.may_have_run(step)
        if self._may_again() and self._again(metrics.Metric.CALLS_RETRIES):
            return
        if not self._running:
            self._end()

    def _failure(self, step: Step) -> Failure:
        if not attempt_module.may_have_run(step):
            return Failure.NOT_CONNECTED
        if self._now() < self._call.deadline:
            return Failure.DISCONNECTED
        metrics.count(metrics.Metric.CALLS_SILENT)
        return Failure.TIMED_OUT

    def _may_again(self) -> bool:
        dispatcher = self._line.dispatcher
        return (
            not self._result.called
            and self._now() < self._call.deadline
            and (self._is_repeatable or not self._may_have_run)
            and len(self._tried) < dispatcher.policy.attempts
        )

    def _again(self, metric: metrics.Metric) -> bool:
        budget = self._line.dispatcher.retries
        if metric is metrics.Metric.CALLS_HEDGES:
            budget = self._line.dispatcher.hedges
        if not budget.withdraw():
            return False
        metrics.count(metric)
        return self._launch()

    def _set_timers(self, number: int) -> None:
        dispatcher = self._line.dispatcher
        now = self._now()
        left = max(1, dispatcher.policy.attempts - len(self._tried) + 1)
        until = deadlines.attempt_deadline(
            now, self._call.deadline, left, dispatcher.limit.unloaded
        )
        if until < self._call.deadline:
            self._later(until - now, metrics.Metric.CALLS_RETRIES)
        hedge = dispatcher.hedge_after()
        if hedge is not None and self._entry.is_urgent and number == 1:
            self._later(hedge, metrics.Metric.CALLS_HEDGES)

    def _later(self, seconds: float, metric: metrics.Metric) -> None:
        """Make another attempt beside one that has not answered yet."""
        # The first one goes on: most slow calls are long ones, which a
        # second try from the start would only make later.
        self._timers.append(
            self._clock.callLater(
                seconds,
                lambda: self._may_again() and self._again(metric),
            )
        )

    def _end(self) -> None:
        if self._result.called:
            return
        if self._may_have_run:
            metrics.count(metrics.Metric.CALLS_UNKNOWN)
            # The last attempt may not have run while an earlier one did.
            text = self._last.message if self._last else ''
            self._result.errback(
                errors.OutcomeUnknown(
                    f'{text} The call may have run.', retry_after=1.0
                )
            )
            return
        self._result.errback(
            self._last
            or errors.NoTarget(
                f'No target of {self._call.service} is left to try.',
                retry_after=1.0,
            )
        )
