"""Read the newest configuration to look up unknown keys."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.accounts.decision import LookupResult
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Store

log = logs.for_part('accounts')

# Maximum reads per second of all instances together: a client that sends
# unknown keys must not overload the store. A fifth of the reads that the store
# accepts at the design size.
FLEET_READS_PER_SECOND = 400.0
# Minimum seconds between two reads of one instance.
MIN_INTERVAL_SECONDS = 0.25
# Requests that can wait for one read; further requests are refused as not run.
MAX_WAITING = 256


class ConfigurationLookup:
    """Share each read of the configuration among the waiting requests."""

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        on_read: Callable[[Entry], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._store = store
        self._on_read = on_read
        self._clock = clock
        self._next_at = 0.0
        self._waiters: list[defer.Deferred[LookupResult]] = []

    async def look_up(self) -> LookupResult:
        """Return the result of a read that starts after this call."""
        if len(self._waiters) >= MAX_WAITING:
            log.warning('Key lookup refused: too many lookups are waiting.')
            return LookupResult.FAILED
        waiter: defer.Deferred[LookupResult] = defer.Deferred()
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            reading = defer.Deferred.fromCoroutine(self._read())
            reading.addErrback(self._fail_waiting)
        return await waiter

    async def _read(self) -> None:
        delay = self._next_at - self._clock.seconds()
        if delay > 0.0:
            await task.deferLater(self._clock, delay)
        self._next_at = self._clock.seconds() + self._read_interval()
        waiters, self._waiters = self._waiters, []
        result = LookupResult.FAILED
        try:
            entry = await self._store.get(keys.CONFIGURATION)
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            log.info('Configuration read for a key failed.', cause=str(error))
        else:
            result = LookupResult.ANSWERED
            if entry is not None:
                self._on_read(entry)
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(result)

    def _read_interval(self) -> float:
        instances = len(self._state.instances_by_id)
        return max(MIN_INTERVAL_SECONDS, instances / FLEET_READS_PER_SECOND)

    def _fail_waiting(self, failure: Any) -> None:
        log.error('Key lookup failed.', cause=failure.getTraceback())
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(LookupResult.FAILED)
