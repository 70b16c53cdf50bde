"""Read the newest configuration for keys that nobody knows here."""

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

# Looks a second of the whole fleet, whatever comes: a fifth of the reads that
# the store takes at two years' size, so that nobody who sends keys by the
# thousand can keep the fleet from it. An instance of 410 looks once a second.
FLEET_LOOKS = 400.0
# Seconds between two looks of an instance at least.
MIN_PAUSE = 0.25
# Requests that may wait for a look: at 0.25 s each, a thousand unknown keys a
# second are judged, and more are sent elsewhere at once.
MAX_WAITING = 256


class ConfigurationLook:
    """Read the configuration once for all requests that wait for it."""

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
        self._waiting: list[defer.Deferred[LookupResult]] = []

    async def look(self) -> LookupResult:
        """Tell how a look ended that began after this call."""
        if len(self._waiting) >= MAX_WAITING:
            log.warning('Not looked for a key: too many wait.')
            return LookupResult.FAILED
        waiting: defer.Deferred[LookupResult] = defer.Deferred()
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            reading = defer.Deferred.fromCoroutine(self._read())
            reading.addErrback(self._failed)
        return await waiting

    async def _read(self) -> None:
        left = self._next_at - self._clock.seconds()
        if left > 0.0:
            await task.deferLater(self._clock, left)
        self._next_at = self._clock.seconds() + self._pause()
        waiting, self._waiting = self._waiting, []
        found = LookupResult.FAILED
        try:
            entry = await self._store.get(keys.CONFIGURATION)
        except (store_module.StoreRefused, store_module.StoreUnclear) as error:
            log.info('Configuration not read for a key.', cause=str(error))
        else:
            found = LookupResult.ANSWERED
            if entry is not None:
                self._on_read(entry)
        for each in waiting:
            if not each.called:
                each.callback(found)

    def _pause(self) -> float:
        instances = len(self._state.instances_by_id)
        return max(MIN_PAUSE, instances / FLEET_LOOKS)

    def _failed(self, failure: Any) -> None:
        log.error('Look failed.', cause=failure.getTraceback())
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if not each.called:
                each.callback(LookupResult.FAILED)
