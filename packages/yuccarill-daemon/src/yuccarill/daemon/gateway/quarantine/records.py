"""Persist quarantined contents in the store across restarts."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

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

# Seconds before a failed write of a record is retried.
RETRY_SECONDS = 0.5
# Seconds to wait for a peer to write the record of a quarantine that follows
# from reports of peers. The instance that detected the last crash writes no
# record if it missed the earlier crashes.
RECORD_WAIT_SECONDS = 1.0
# Expired records removed per write; the platform accepts 32 keys per call.
MAX_REMOVALS_PER_WRITE = 16


class QuarantineRecords:
    """Write the quarantines of this instance and apply those of its peers.

    Guards against the loss of all quarantines when all instances are killed at
    once. Nothing is written for a content that is not quarantined.
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
        self._applied: set[ContentDigest] = set()

    def update(self) -> None:
        """Apply the records that were added or removed in the store."""
        records = self._state.quarantined_by_content
        for content in self._applied - records.keys():
            self._applied.discard(content)
            self._guard.release(content)
        for content in records.keys() - self._applied:
            self._applied.add(content)
            seconds_left = records[content].until - self._wall()
            if seconds_left > 0.0:
                self._guard.set_name(content, records[content].request)
                self._guard.quarantine(
                    content, min(seconds_left, crash_ledger.QUARANTINE_SECONDS)
                )

    def write(self, content: ContentDigest) -> None:
        """Write a record for a content that this instance quarantined."""
        writing = defer.Deferred.fromCoroutine(self._write(content))
        writing.addErrback(self._log_failure)

    def write_later(self, content: ContentDigest) -> None:
        """Write a record after a delay unless a peer has written it."""
        if content in self._state.quarantined_by_content:
            return
        self._clock.callLater(RECORD_WAIT_SECONDS, self._write_absent, content)

    def _write_absent(self, content: ContentDigest) -> None:
        if content not in self._guard.ledger.quarantined():
            return
        # To limit conflicts, only the watchers write: they are the first to
        # see changes in the store.
        writers = watchers.watchers(
            self._state.cores_by_name(), self._state.data_centres_by_name()
        )
        if self._state.settings.instance in writers:
            self.write(content)

    async def remove(self, content: ContentDigest) -> None:
        """Release a content from quarantine in all instances.

        Raises StoreRefused, StoreOutcomeUnknown or StoreConflict.
        """
        self._guard.release(content)
        if content in self._state.quarantined_by_content:
            await self._store.transact(removals=[keys.quarantine(content)])

    def remove_later(self, content: ContentDigest) -> None:
        """Remove the record of a released content once the store answers."""
        removing = defer.Deferred.fromCoroutine(self._remove(content))
        removing.addErrback(self._log_failure)

    async def _remove(self, content: ContentDigest) -> None:
        # The record of another instance may not be known here yet.
        await task.deferLater(self._clock, RECORD_WAIT_SECONDS)
        while (
            content in self._state.quarantined_by_content
            and content not in self._guard.ledger.quarantined()
        ):
            try:
                await self._store.transact(removals=[keys.quarantine(content)])
                return
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                log.info(
                    'Quarantine record not removed.',
                    content=content,
                    cause=str(error),
                )
                await self._store.pause(RETRY_SECONDS)

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
            if content not in self._guard.ledger.quarantined():
                # Released while the store was unavailable.
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
                # A peer wrote the record, or an earlier attempt succeeded.
                return
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                log.info(
                    'Quarantine record not written.',
                    content=content,
                    cause=str(error),
                )
                await self._store.pause(RETRY_SECONDS)
                continue
            log.info('Quarantine record written.', content=content)
            return

    def _expired_keys(self) -> list[str]:
        now = self._wall()
        records = self._state.quarantined_by_content
        expired = [c for c, record in records.items() if record.until <= now]
        return [keys.quarantine(c) for c in expired[:MAX_REMOVALS_PER_WRITE]]

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Quarantine write failed.', cause=failure.getTraceback())
