"""Send single attempts of a request to a service's targets."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.calls import pool as pool_module
from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls
    from yuccarill.daemon.gateway.requests.pools import Pools
    from yuccarill.platform.calls import TargetCall

log = logs.for_part('sender')


class Attempts:
    """Choose a target, send it one attempt and record the result."""

    def __init__(
        self,
        pools: Pools,
        calls: WatchedCalls,
        guard: ContentGuard,
        clock: Any,
        capacity: port.CapacityPort = port.NO_CAPACITY,
    ) -> None:
        self._capacity = capacity
        self._pools = pools
        self._calls = calls
        self.guard = guard
        self._clock = clock

    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def may_hedge(self, call: TargetCall) -> bool:
        """Return whether two targets may run the request concurrently."""
        return self.guard.may_run_concurrently(call.content)

    def choose(
        self,
        service: ServiceName,
        tried: frozenset[TargetId],
        avoided: frozenset[TargetId] = frozenset(),
    ) -> ListedTarget | None:
        """Return a target, preferring untried ones, or none.

        Avoided targets are a fallback; excluded targets are never returned.
        """
        now = self.now()
        pool = self._pools.pool(service, now)
        excluded = self._pools.excluded_ids(now)
        connected = self._connected(service)
        chosen = (
            pool.choose(now, tried | avoided | excluded, connected=connected)
            or (avoided and pool.choose(now, tried | excluded))
            or pool.choose(now, excluded)
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
        """Send one attempt and record its result in the target pool."""
        pool = self._pools.pool(target.service, self.now())
        pool.record_send(target.id)
        started_at = self.now()
        end, cause = 'cancelled', ''
        try:
            with port.record_attempt(
                self._capacity, target.service, self._clock
            ) as outcome:
                answer = await self._calls.send(target, call, deadline)
                outcome.answer = answer
            end = self._record_answer(pool, target, answer, started_at)
            return answer
        except calls_module.CallFailed as error:
            end, cause = error.end.value, str(error)
            if self._pools.is_current(target):
                pool.record_failure(target.id, _failure(error), self.now())
            if error.is_connection_refused:
                self._pools.exclude(target, self.now())
            raise
        except defer.CancelledError:
            pool.cancel_attempt(target.id)
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

    def call_at(self, at: Instant, wake: Callable[[], None]) -> Any:
        """Schedule a call at an instant and return its timer."""
        return self._clock.callLater(max(0.0, at - self.now()), wake)

    def _record_answer(
        self,
        pool: pool_module.Pool,
        target: ListedTarget,
        answer: TargetAnswer,
        started_at: Instant,
    ) -> str:
        if answer.is_from_other_process:
            self._pools.exclude(target, self.now())
        if answer.not_run and self._pools.is_current(target):
            pool.record_failure(
                target.id, pool_module.Failure.REFUSED, self.now()
            )
            return 'refused'
        seconds = self.now() - started_at
        if not self._pools.is_current(target):
            return f'status {answer.status}'
        pool.record_answer(target.id, seconds, None, self.now())
        return f'status {answer.status}'


def _failure(error: calls_module.CallFailed) -> pool_module.Failure:
    match error.end:
        case calls_module.CallEnd.NOT_SENT:
            return pool_module.Failure.NOT_CONNECTED
        case calls_module.CallEnd.BROKEN:
            return pool_module.Failure.DISCONNECTED
