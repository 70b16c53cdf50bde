"""Read and write the store keys of one duty."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core.gateway import leadership
from yuccarill.core.ids import Revision
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ServiceName
    from yuccarill.platform.store import Store

log = logs.for_part('duty')

# Seconds between attempts to release a duty.
RETRY_SECONDS = 0.3


class DutyKeys:
    """Acquire and release a duty in the store by conditional writes."""

    def __init__(
        self,
        service: ServiceName,
        instance: InstanceId,
        incarnation: Incarnation,
        store: Store,
        clock: Any,
    ) -> None:
        self._service = service
        self._instance = instance
        self._incarnation = incarnation
        self._store = store
        # Peer address of the standby, written with the last holder's record.
        self.standby = ''
        self._clock = clock

    async def acquire(
        self,
        lease_id: int,
        holder: state_module.DutyRecord | None,
        last: leadership.LastHolder | None,
        wait: float,
    ) -> Revision:
        """Acquire the duty and return the revision that granted it.

        Raises StoreConflict if the store has another holder or last holder
        than expected; also StoreRefused and StoreOutcomeUnknown.
        """
        key = keys.duty(self._service)
        record = state_module.DutyRecord(instance=self._instance)
        return await self._store.transact(
            expected=[
                store_module.Expectation(
                    key=key,
                    revision=store_module.ABSENT
                    if holder is None
                    else Revision(holder.revision),
                ),
                # With a stale record, this instance would take itself for
                # the last holder and skip the handover pause.
                store_module.Expectation(
                    key=keys.last_holder(self._service),
                    revision=store_module.ABSENT
                    if last is None
                    else last.revision,
                ),
            ],
            writes=[
                store_module.Write(
                    key=key,
                    value=msgspec.msgpack.encode(record),
                    lease=lease_id,
                ),
                self._last_holder_write(None, wait),
            ],
        )

    async def has_hold(self, revision: Revision) -> bool:
        """Return whether the duty's store entry has this revision."""
        entry = await self._store.get(keys.duty(self._service))
        return entry is not None and entry.revision == revision

    async def write_wait(self, revision: Revision, wait: float) -> None:
        """Write the holder's remaining handover wait and its standby."""
        await self._store.transact(
            expected=[self._expect_hold(revision)],
            writes=[self._last_holder_write(None, wait)],
        )

    async def release_hold(
        self, revision: Revision, idle_seconds: float, wait: float
    ) -> None:
        """Remove the hold and record the wait for the next holder.

        Retries until the store accepts or the hold has ended.
        """
        while True:
            try:
                await self._store.transact(
                    expected=[self._expect_hold(revision)],
                    writes=[self._last_holder_write(idle_seconds, wait)],
                    removals=[keys.duty(self._service)],
                )
                return
            except store_module.StoreConflict:
                # An earlier attempt succeeded, or the lease expired.
                return
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                log.info(
                    'Duty release failed; retrying.',
                    service=self._service,
                    cause=str(error),
                )
                await task.deferLater(self._clock, RETRY_SECONDS)

    def _expect_hold(self, revision: Revision) -> store_module.Expectation:
        return store_module.Expectation(
            key=keys.duty(self._service), revision=revision
        )

    def _last_holder_write(
        self, idle_seconds: float | None, wait: float
    ) -> store_module.Write:
        record = leadership.LastHolder(
            instance=self._instance,
            incarnation=self._incarnation,
            idle_seconds=idle_seconds,
            waits=wait,
            standby=self.standby,
        )
        return store_module.Write(
            key=keys.last_holder(self._service),
            value=msgspec.msgpack.encode(record),
        )
