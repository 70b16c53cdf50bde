"""Run the attempts of one idempotent request, with hedging."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.requests import selector
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.requests.attempts import Attempts
    from yuccarill.platform.calls import TargetCall


class SendRecord(msgspec.Struct, kw_only=True):
    """Record the outcomes of one request's attempts."""

    attempts: int = 0
    # Attempts that ran or may have run.
    may_have_run: int = 0
    # Error responses that count as failed runs; timeouts do not.
    failed_runs: int = 0
    last_cause: str = ''
    # Send times of all attempts but those that certainly did not run.
    sent_at: list[Instant] = []
    # A target's error response, returned if signed and no target succeeds.
    failure: TargetAnswer | None = None

    @property
    def began_at(self) -> Instant | None:
        """Return when the request began to run, none if it did not.

        Attempts with an unknown outcome count, since most of them have begun.
        """
        return min(self.sent_at, default=None)


class Exchange:
    """Run the attempts of one request, hedged where allowed."""

    def __init__(
        self,
        attempting: Attempts,
        service: ServiceName,
        call: TargetCall,
        plan: attempts.AttemptPlan,
        record: SendRecord,
        permit: port.SendPermit = port.UNLIMITED,
        is_trial: bool = False,
    ) -> None:
        self._attempting = attempting
        self._service = service
        self._call = call
        self._plan = plan
        self._record = record
        self._permit = permit
        # Cleared when there is no capacity for a hedge.
        self._may_hedge = True
        # Unlimited here: the plan limits the attempts.
        self._selector = selector.TargetSelector(
            attempting,
            service,
            call.content,
            sys.maxsize,
            is_trial=is_trial,
        )
        self._quarantine_error: errors.RequestQuarantined | None = None
        self._running: list[defer.Deferred[None]] = []
        self._success: TargetAnswer | None = None
        self._wake: defer.Deferred[None] | None = None

    async def run(self) -> TargetAnswer:
        while self._success is None:
            self._plan.may_hedge = (
                self._may_hedge and self._attempting.may_hedge(self._call)
            )
            match self._plan.next(self._attempting.now()):
                case attempts.Next.START:
                    self._start_attempt()
                case attempts.Next.WAIT:
                    await self._sleep()
                case attempts.Next.GIVE_UP:
                    return self._give_up()
        return self._success

    def cancel(self) -> None:
        """Cancel the attempts still in flight."""
        for running in list(self._running):
            running.cancel()

    def _start_attempt(self) -> None:
        if self._plan.in_flight and not self._permit.may_hedge():
            self._may_hedge = False
            return
        target = self._next_target() if self._may_start_attempt() else None
        if target is None:
            # Stop: no target, no retry budget, or the request is quarantined.
            self._plan.max_attempts = self._plan.started
            return
        self._plan.start(self._attempting.now())
        self._record.attempts += 1
        running = defer.Deferred.fromCoroutine(self._attempt(target))
        if not running.called:
            self._running.append(running)
            running.addBoth(self._remove, running)

    def _may_start_attempt(self) -> bool:
        """Return whether an attempt is allowed, and charge retries."""
        is_retry = self._plan.started and not self._plan.in_flight
        return not is_retry or self._permit.may_retry()

    def _next_target(self) -> ListedTarget | None:
        try:
            target = self._selector.next()
        except errors.RequestQuarantined as error:
            self._quarantine_error = error
            self._record.last_cause = error.message
            return None
        if target is None and not self._record.last_cause:
            self._record.last_cause = 'no target is ready'
        return target

    def _remove(self, result: object, running: defer.Deferred[None]) -> None:
        if running in self._running:
            self._running.remove(running)

    async def _attempt(self, target: ListedTarget) -> None:
        sent_at = self._attempting.now()
        self._record.sent_at.append(sent_at)
        try:
            answer = await self._attempting.attempt(
                target, self._call, self._plan.deadline
            )
        except calls_module.CallFailed as error:
            self._record.last_cause = str(error)
            if error.end is calls_module.CallEnd.NOT_SENT:
                self._record.sent_at.remove(sent_at)
                self._selector.record_unreached(target)
                self._plan.withdraw()
                self._wake_up()
                return
            self._record.may_have_run += 1
        except defer.CancelledError:
            return
        else:
            if answer.not_run:
                self._record.sent_at.remove(sent_at)
            self._record_answer(answer)
        self._plan.end()
        self._wake_up()

    def _record_answer(self, answer: TargetAnswer) -> None:
        if answer.not_run:
            self._record.last_cause = f'refused with status {answer.status}'
            return
        self._record.may_have_run += 1
        if answer.is_server_error:
            self._record.failed_runs += answer.is_failed_run
            self._record.last_cause = f'status {answer.status}'
            self._record.failure = answer
            return
        self._success = answer

    async def _sleep(self) -> None:
        self._wake = defer.Deferred()
        timer = self._attempting.call_at(self._plan.wakes_at(), self._wake_up)
        try:
            await self._wake
        finally:
            if timer.active():
                timer.cancel()

    def _wake_up(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake.callback(None)

    def _give_up(self) -> TargetAnswer:
        record = self._record
        if record.failure is not None and record.failure.signature is not None:
            return record.failure
        cause = record.last_cause or 'no target answered before the deadline'
        if record.may_have_run == 0 and self._plan.in_flight == 0:
            if self._quarantine_error is not None:
                raise self._quarantine_error
            raise self._permit.refusal(cause)
        if self._attempting.now() >= self._plan.deadline:
            raise errors.DeadlinePassed(f'No answer came in time: {cause}.')
        raise errors.OutcomeUnknown(f'No complete answer came: {cause}.')
