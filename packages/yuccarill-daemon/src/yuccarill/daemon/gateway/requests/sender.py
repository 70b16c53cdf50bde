"""Send idempotent requests to a service's targets until one answers."""

from __future__ import annotations

import random
import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.calls import pool as pool_module
from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.requests import tries
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.calls import TargetCall

log = logs.for_part('sender')

# Seconds after which a refused request may come back: long enough for a
# target's queue to move, short against the deadlines of 1.5 s and more.
RETRY_AFTER = 0.2


# Seconds for which a target is not chosen at whose address nobody, or another
# process, was found. Until the list shows it, 96 texts that waited for their
# scores asked three such targets a thousand times a second.
GONE_SECONDS = 0.5


class Pools:
    """Keep one pool of targets a service, as the list has them."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._pools_by_service: dict[ServiceName, pool_module.Pool] = {}
        # The targets as each pool took them last.
        self._taken_by_service: dict[
            ServiceName, Mapping[TargetId, ListedTarget]
        ] = {}
        # What each pool was last brought up to.
        self._seen_by_service: dict[ServiceName, tuple[int, DataCentreId]] = {}
        # Until when targets are taken for gone.
        self._gone_until: dict[TargetId, Instant] = {}

    def pool(self, service: ServiceName, now: Instant) -> pool_module.Pool:
        """Return a service's pool with its ready targets."""
        pool = self._pools_by_service.get(service)
        if pool is None:
            pool = pool_module.Pool(
                pool_module.RoutingPolicy(), random.Random()
            )
            self._pools_by_service[service] = pool
        targets = self._state.targets
        here = self._state.settings.data_centre
        seen = (targets.changes(service), here)
        if self._seen_by_service.get(service) != seen:
            # At each request, it took 90 ms with 1,300 targets.
            self._seen_by_service[service] = seen
            ready = targets.ready(service)
            taken = self._taken_by_service.get(service, {})
            self._taken_by_service[service] = ready
            for target_id in _started_again(taken, ready):
                pool.forget(target_id)
                self._gone_until.pop(target_id, None)
            centres_by_id = {t.id: t.data_centre for t in ready.values()}
            pool.update(centres_by_id, here, now)
        return pool

    def note_gone(self, target: ListedTarget, now: Instant) -> None:
        """Do not choose a target for a while that was not at its address."""
        self._gone_until[target.id] = Instant(now + GONE_SECONDS)

    def gone(self, now: Instant) -> frozenset[TargetId]:
        """Return the targets that are taken for gone."""
        if self._gone_until:
            self._gone_until = {
                target_id: until
                for target_id, until in self._gone_until.items()
                if now < until
            }
        return frozenset(self._gone_until)

    def is_current(self, target: ListedTarget) -> bool:
        """Tell whether a target is still the process that is listed."""
        listed = self.target(target.id)
        return listed is None or target.is_same_start(listed)

    def targets(self, service: ServiceName) -> Iterable[ListedTarget]:
        """Return the targets of a service that are ready."""
        return self._state.targets.ready(service).values()

    def target(self, target_id: TargetId) -> ListedTarget | None:
        return self._state.targets.targets_by_id.get(target_id)


def _started_again(
    taken_by_id: Mapping[TargetId, ListedTarget],
    ready_by_id: Mapping[TargetId, ListedTarget],
) -> list[TargetId]:
    # A process that started again under its id would be left out, or chosen,
    # for what the one before it did.
    return [
        target_id
        for target_id in taken_by_id.keys() & ready_by_id.keys()
        if not taken_by_id[target_id].is_same_start(ready_by_id[target_id])
    ]


class SendRecord(msgspec.Struct, kw_only=True):
    """Count what became of one request's attempts."""

    attempts: int = 0
    # Attempts that may have run.
    may_have_run: int = 0
    # Answers of targets that the work itself failed.
    failed_runs: int = 0
    last_cause: str = ''
    # A target's own failure, passed on if no other target does better.
    failure: TargetAnswer | None = None


class Sender:
    """Send requests that may be repeated."""

    def __init__(
        self,
        pools: Pools,
        calls: WatchedCalls,
        guard: ContentGuard,
        clock: Any,
    ) -> None:
        self._pools = pools
        self._calls = calls
        self._guard = guard
        self._clock = clock

    async def send(
        self,
        service: ServiceName,
        call: TargetCall,
        plan: attempts.AttemptPlan,
        record: SendRecord,
    ) -> TargetAnswer:
        """Return the first success, else a target's own failure.

        Raises NotRun if no attempt can have run, else OutcomeUnknown or
        DeadlinePassed.
        """
        exchange = _Exchange(self, service, call, plan, record)
        try:
            return await exchange.run()
        finally:
            exchange.cancel()

    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def tries(
        self, service: ServiceName, call: TargetCall, limit: int
    ) -> tries.TargetTries:
        """Return the choice of targets for one request."""
        return tries.TargetTries(
            self, self._guard, service, call.content, limit
        )

    def may_hedge(self, call: TargetCall) -> bool:
        """Tell whether two targets may run a request at once."""
        return self._guard.ledger.verdict(call.content) is Verdict.CLEAR

    def choose(
        self,
        service: ServiceName,
        tried: frozenset[TargetId],
        avoided: frozenset[TargetId] = frozenset(),
    ) -> ListedTarget | None:
        """Return a target that was not tried yet, or any one.

        One that is to be avoided is taken where there is no other, and one
        that is gone never.
        """
        now = self.now()
        pool = self._pools.pool(service, now)
        gone = self._pools.gone(now)
        connected = self._connected(service)
        chosen = (
            pool.choose(now, tried | avoided | gone, connected=connected)
            or (avoided and pool.choose(now, tried | gone))
            or pool.choose(now, gone)
        )
        return self._pools.target(chosen) if chosen else None

    def _connected(self, service: ServiceName) -> set[TargetId]:
        return {
            target.id
            for target in self._pools.targets(service)
            if self._calls.is_connected(target)
        }

    async def attempt(
        self, target: ListedTarget, call: TargetCall, deadline: Instant
    ) -> TargetAnswer:
        """Send one attempt and let the pool learn from it."""
        pool = self._pools.pool(target.service, self.now())
        pool.send(target.id)
        started_at = self.now()
        end, cause = 'cancelled', ''
        try:
            answer = await self._calls.send(target, call, deadline)
            end = self._learn(pool, target, answer, started_at)
            return answer
        except calls_module.CallFailed as error:
            end, cause = error.end.value, str(error)
            if self._pools.is_current(target):
                pool.fail(target.id, _failure(error), self.now())
            if error.is_refused:
                self._pools.note_gone(target, self.now())
            raise
        except defer.CancelledError:
            pool.give_up(target.id)
            raise
        finally:
            seconds = self.now() - started_at
            meters.ATTEMPTS.labels(target.service, end).inc()
            meters.ATTEMPT_SECONDS.labels(target.service).observe(seconds)
            log.info(
                'Attempt ended.',
                request=call.id,
                content=call.content,
                target=target.id,
                end=end,
                cause=cause,
                ms=round(seconds * 1000.0),
            )

    def wake_at(self, at: Instant, wake: Callable[[], None]) -> Any:
        """Call a function at an instant; returns a timer to cancel."""
        return self._clock.callLater(max(0.0, at - self.now()), wake)

    def _learn(
        self,
        pool: pool_module.Pool,
        target: ListedTarget,
        answer: TargetAnswer,
        started_at: Instant,
    ) -> str:
        if answer.is_other:
            self._pools.note_gone(target, self.now())
        if answer.not_run and self._pools.is_current(target):
            pool.fail(target.id, pool_module.Failure.REFUSED, self.now())
            return 'refused'
        seconds = self.now() - started_at
        if not self._pools.is_current(target):
            return f'status {answer.status}'
        pool.answer(target.id, seconds, None, self.now())
        return f'status {answer.status}'


class _Exchange:
    """Run one request's attempts side by side."""

    def __init__(
        self,
        sender: Sender,
        service: ServiceName,
        call: TargetCall,
        plan: attempts.AttemptPlan,
        record: SendRecord,
    ) -> None:
        self._sender = sender
        self._service = service
        self._call = call
        self._plan = plan
        self._record = record
        # The plan counts the attempts.
        self._tries = sender.tries(service, call, sys.maxsize)
        self._refusal: errors.RequestQuarantined | None = None
        self._running: list[defer.Deferred[None]] = []
        self._success: TargetAnswer | None = None
        self._wake: defer.Deferred[None] | None = None

    async def run(self) -> TargetAnswer:
        while self._success is None:
            self._plan.may_hedge = self._sender.may_hedge(self._call)
            match self._plan.next(self._sender.now()):
                case attempts.Next.START:
                    self._start()
                case attempts.Next.WAIT:
                    await self._sleep()
                case attempts.Next.GIVE_UP:
                    return self._give_up()
        return self._success

    def cancel(self) -> None:
        """Close what is still under way."""
        for running in list(self._running):
            running.cancel()

    def _start(self) -> None:
        target = self._next_target()
        if target is None:
            # More attempts would find none either.
            self._plan.max_attempts = self._plan.started
            return
        self._plan.start(self._sender.now())
        self._record.attempts += 1
        running = defer.Deferred.fromCoroutine(self._attempt(target))
        if not running.called:
            self._running.append(running)
            running.addBoth(self._ended, running)

    def _next_target(self) -> ListedTarget | None:
        try:
            target = self._tries.next()
        except errors.RequestQuarantined as error:
            self._refusal = error
            self._record.last_cause = error.message
            return None
        if target is None and not self._record.last_cause:
            self._record.last_cause = 'no target is ready'
        return target

    def _ended(self, result: object, running: defer.Deferred[None]) -> None:
        if running in self._running:
            self._running.remove(running)

    async def _attempt(self, target: ListedTarget) -> None:
        try:
            answer = await self._sender.attempt(
                target, self._call, self._plan.deadline
            )
        except calls_module.CallFailed as error:
            self._record.last_cause = str(error)
            if error.end is calls_module.CallEnd.NOT_SENT:
                self._tries.not_reached(target)
                self._plan.withdraw()
                self._wake_up()
                return
            self._record.may_have_run += 1
        except defer.CancelledError:
            return
        else:
            self._take(answer)
        self._plan.end()
        self._wake_up()

    def _take(self, answer: TargetAnswer) -> None:
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
        timer = self._sender.wake_at(self._plan.wakes_at(), self._wake_up)
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
        if record.failure is not None and record.failure.stamp is not None:
            return record.failure
        cause = record.last_cause or 'no target answered in time'
        if record.may_have_run == 0 and self._plan.in_flight == 0:
            if self._refusal is not None:
                raise self._refusal
            raise errors.NotRun(
                f'The request was not run: {cause}.', RETRY_AFTER
            )
        if self._sender.now() >= self._plan.deadline:
            raise errors.DeadlinePassed(f'No answer came in time: {cause}.')
        raise errors.OutcomeUnknown(f'No whole answer came: {cause}.')


def _failure(error: calls_module.CallFailed) -> pool_module.Failure:
    match error.end:
        case calls_module.CallEnd.NOT_SENT:
            return pool_module.Failure.NOT_CONNECTED
        case calls_module.CallEnd.BROKEN:
            return pool_module.Failure.CUT
