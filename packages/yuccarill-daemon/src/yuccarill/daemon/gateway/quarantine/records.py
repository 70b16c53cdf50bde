"""Keep the quarantine in the store, for instances that start later."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.gateway import crash_ledger
from yuccarill.core.gateway import watchers
from yuccarill.core.ids import WallTime
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.ids import ContentDigest
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Store

log = logs.for_part('quarantine')

# Seconds before a record is written again that the store did not take.
RETRY_SECONDS = 0.5
# Seconds that an instance which was told of a quarantine waits for its record.
# Whoever saw the last end may have started a moment ago, and not know of the
# others that make three: then nobody wrote one, and all instances that were
# killed together began to count anew.
RECORD_WAIT = 1.0
# Records that one write removes, their time being over; the platform takes
# 32 keys a call.
REMOVED_AT_ONCE = 16


class QuarantineRecords:
    """Write what this instance found, and take what others found.

    What is only in memory is gone once all instances are killed at the same
    moment, and the caller ended three more targets each time. Nothing is
    written for a request that is not quarantined.
    """

    def __init__(
        self,
        state: GatewayState,
        guard: ContentGuard,
        store: Store,
        clock: Any,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._state = state
        self._guard = guard
        self._store = store
        self._clock = clock
        self._wall = wall
        # Contents of the records that were taken.
        self._taken: set[ContentDigest] = set()

    def update(self) -> None:
        """Take what has changed in the store."""
        records = self._state.quarantined_by_content
        for content in self._taken - records.keys():
            self._taken.discard(content)
            self._guard.release(content)
        for content in records.keys() - self._taken:
            self._taken.add(content)
            left = records[content].until - self._wall()
            if left > 0.0:
                self._guard.name(content, records[content].request)
                self._guard.quarantine(
                    content, min(left, crash_ledger.QUARANTINE_SECONDS)
                )

    def write(self, content: ContentDigest) -> None:
        """Record a content that this instance found to be a cause."""
        writing = defer.Deferred.fromCoroutine(self._write(content))
        writing.addErrback(self._failed)

    def expect(self, content: ContentDigest) -> None:
        """Record what another instance found, if it does not do so itself."""
        if content in self._state.quarantined_by_content:
            return
        self._clock.callLater(RECORD_WAIT, self._write_missing, content)

    def _write_missing(self, content: ContentDigest) -> None:
        if content not in self._guard.ledger.quarantined():
            return
        # A few are enough, and these see first what the store holds.
        few = watchers.watchers(
            self._state.cores_by_name(), self._state.centres_by_name()
        )
        if self._state.settings.instance in few:
            self.write(content)

    async def remove(self, content: ContentDigest) -> None:
        """Take a content back, for all instances.

        Raises StoreRefused, StoreUnclear or StoreConflict.
        """
        self._guard.release(content)
        if content in self._state.quarantined_by_content:
            await self._store.transact(removals=[keys.quarantine(content)])

    async def _write(self, content: ContentDigest) -> None:
        until = self._wall() + crash_ledger.QUARANTINE_SECONDS
        record = state_module.QuarantineRecord(
            request=self._guard.name_of(content),
            targets=self._guard.ledger.targets(content),
            instance=self._state.settings.instance,
            until=WallTime(until),
        )
        key = keys.quarantine(content)
        while self._wall() < until:
            if content in self._state.quarantined_by_content:
                return
            try:
                await self._store.transact(
                    expected=[
                        store_module.Expectation(
                            key=key, revision=store_module.ABSENT
                        )
                    ],
                    writes=[
                        store_module.Write(
                            key=key, value=msgspec.msgpack.encode(record)
                        )
                    ],
                    removals=self._expired_keys(),
                )
            except store_module.StoreConflict:
                # Another instance wrote it, or an earlier try took effect.
                return
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                log.info('Not recorded.', content=content, cause=str(error))
                await self._store.pause(RETRY_SECONDS)
                continue
            log.info('Recorded.', content=content)
            return

    def _expired_keys(self) -> list[str]:
        now = self._wall()
        records = self._state.quarantined_by_content
        expired = [c for c, record in records.items() if record.until <= now]
        return [keys.quarantine(c) for c in expired[:REMOVED_AT_ONCE]]

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Record failed.', cause=failure.getTraceback())
