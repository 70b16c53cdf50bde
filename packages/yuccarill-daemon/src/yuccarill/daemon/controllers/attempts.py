"""Retry and hedge a call on targets until one answers."""

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
from yuccarill.daemon.controllers import call_queues
from yuccarill.daemon import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.calls.ledger import Answer
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Target
    from yuccarill.daemon.adapters.target import TargetAdapter

# How long to wait past the caller's deadline for the answer to a
# non-repeatable call, so that the caller can query its outcome later.
OUTCOME_SECONDS = 30.0
_UNAVAILABLE = 503


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one call to a service."""

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
    """Run calls on targets and report whether they may have run."""

    def __init__(
        self,
        queues: call_queues.CallQueues,
        targets: TargetAdapter,
        now: Callable[[], Instant],
        clock: Any,
    ) -> None:
        self._queues = queues
        self._targets = targets
        self._now = now
        self._clock = clock

    async def run(self, call: Call, is_repeatable: bool) -> Answer:
        """Return the answer of the first target that gives one.

        Raises an error with `not_run` set only if no attempt sent a byte.
        """
        queue = self._queues.for_service(call.service)
        caller = self._queues.caller(call.caller)
        entry = call_queues.Entry(caller=caller, deadline=call.deadline)
        if self._now() >= call.deadline:
            raise errors.DeadlinePassed(
                'The deadline passed before the call was sent.',
                retry_after=1.0,
            )
        await queue.enter(entry)
        try:
            return await _CallAttempts(
                self._targets,
                queue,
                entry,
                call,
                is_repeatable,
                self._now,
                self._clock,
            ).run()
        finally:
            queue.leave()


class _CallAttempts:
    """Make sequential or parallel attempts at one call."""

    def __init__(
        self,
        targets: TargetAdapter,
        queue: call_queues.CallQueue,
        entry: call_queues.Entry,
        call: Call,
        is_repeatable: bool,
        now: Callable[[], Instant],
        clock: Any,
    ) -> None:
        self._targets = targets
        self._queue = queue
        self._entry = entry
        self._call = call
        self._is_repeatable = is_repeatable
        self._now = now
        self._clock = clock
        self._tried: frozenset[TargetId] = frozenset()
        self._pending: list[defer.Deferred[None]] = []
        self._timers: list[Any] = []
        self._last_error: errors.YuccarillError | None = None
        self._may_have_run = False
        self._running = 0
        self._result: defer.Deferred[Answer] = defer.Deferred()

    async def run(self) -> Answer:
        self._start_attempt()
        try:
            return await self._result
        finally:
            for timer in self._timers:
                if timer.active():
                    timer.cancel()
            for work in self._pending:
                work.cancel()

    def _start_attempt(self) -> bool:
        target = self._queue.choose(self._tried, self._entry)
        if target is None:
            if not self._running:
                self._fail_call()
            return False
        self._tried |= {target.id}
        work = defer.ensureDeferred(self._run_attempt(target))
        if not work.called:
            self._pending.append(work)
            work.addBoth(self._remove_pending, work)
            if self._is_repeatable:
                self._set_timers(len(self._pending))
        return True

    def _remove_pending(self, result: Any, work: defer.Deferred[None]) -> None:
        if work in self._pending:
            self._pending.remove(work)

    async def _run_attempt(self, target: Engine | Target) -> None:
        step = Step.QUEUED

        def record_step(reached: Step) -> None:
            nonlocal step
            step = max(step, reached)

        started_at = self._now()
        self._queue.record_send(target.id)
        self._running += 1
        try:
            reply = await self._targets.call(
                target.address, self._request(), record_step
            )
        except Exception as cause:
            self._running -= 1
            error = cause
            if not isinstance(cause, errors.YuccarillError):
                error = errors.OutcomeUnknown(f'The call failed: {cause!r}.')
            if self._result.called:
                self._queue.cancel_attempt(target.id)
                return
            self._handle_failure(target.id, started_at, step, error)
            return
        self._running -= 1
        if reply.answer.status == _UNAVAILABLE:
            self._queue.record_failure(target.id, started_at, Failure.REFUSED)
        else:
            self._queue.record_answer(target.id, started_at, reply.report)
        if not self._result.called:
            self._result.callback(reply.answer)

    def _request(self) -> TargetRequest:
        call = self._call
        extra_seconds = 0.0 if self._is_repeatable else OUTCOME_SECONDS
        return TargetRequest(
            request_id=call.request_id,
            path=call.path,
            query=call.query,
            content_type=call.content_type,
            body=call.body,
            priority=self._entry.priority,
            attempt=len(self._tried),
            connect_deadline=call.deadline,
            answer_deadline=Instant(call.deadline + extra_seconds),
        )

    def _handle_failure(
        self,
        target: TargetId,
        started_at: Instant,
        step: Step,
        error: errors.YuccarillError,
    ) -> None:
        self._queue.record_failure(target, started_at, self._failure_of(step))
        self._last_error = error
        self._may_have_run |= attempt_module.may_have_run(step)
        if self._may_add() and self._add_attempt(metrics.Metric.CALLS_RETRIES):
            return
        if not self._running:
            self._fail_call()

    def _failure_of(self, step: Step) -> Failure:
        if not attempt_module.may_have_run(step):
            return Failure.NOT_CONNECTED
        if self._now() < self._call.deadline:
            return Failure.DISCONNECTED
        metrics.count(metrics.Metric.CALLS_SILENT)
        return Failure.TIMED_OUT

    def _may_add(self) -> bool:
        dispatcher = self._queue.dispatcher
        return (
            not self._result.called
            and self._now() < self._call.deadline
            and (self._is_repeatable or not self._may_have_run)
            and len(self._tried) < dispatcher.policy.attempts
        )

    def _add_attempt(self, metric: metrics.Metric) -> bool:
        budget = self._queue.dispatcher.retries
        if metric is metrics.Metric.CALLS_HEDGES:
            budget = self._queue.dispatcher.hedges
        if not budget.withdraw():
            return False
        metrics.count(metric)
        return self._start_attempt()

    def _set_timers(self, pending: int) -> None:
        dispatcher = self._queue.dispatcher
        now = self._now()
        left = max(1, dispatcher.policy.attempts - len(self._tried) + 1)
        attempt_by = deadlines.attempt_deadline(
            now, self._call.deadline, left, dispatcher.limit.unloaded
        )
        if attempt_by < self._call.deadline:
            self._schedule(attempt_by - now, metrics.Metric.CALLS_RETRIES)
        hedge = dispatcher.hedge_after()
        if hedge is not None and self._entry.is_urgent and pending == 1:
            self._schedule(hedge, metrics.Metric.CALLS_HEDGES)

    def _schedule(self, seconds: float, metric: metrics.Metric) -> None:
        """Schedule an attempt in parallel to a pending one."""
        # The pending attempt continues: most slow calls are long ones, which a
        # restart would only delay further.
        self._timers.append(
            self._clock.callLater(
                seconds, lambda: self._may_add() and self._add_attempt(metric)
            )
        )

    def _fail_call(self) -> None:
        if self._result.called:
            return
        if self._may_have_run:
            metrics.count(metrics.Metric.CALLS_UNKNOWN)
            # An earlier attempt may have run even if the last one did not.
            text = self._last_error.message if self._last_error else ''
            self._result.errback(
                errors.OutcomeUnknown(
                    f'{text} The call may have run.', retry_after=1.0
                )
            )
            return
        self._result.errback(
            self._last_error
            or errors.NoTarget(
                f'No target of {self._call.service} is available.',
                retry_after=1.0,
            )
        )
