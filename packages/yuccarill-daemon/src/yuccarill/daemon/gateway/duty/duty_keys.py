"""Write and read the keys of one service's duty."""

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

# Seconds before a duty is given back again, where the store did not answer.
RETRY_SECONDS = 0.3


class DutyKeys:
    """Take and give back a duty in the store, by conditional writes."""

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
        # The peer port of the standby, told with each hold.
        self.standby = ''
        self._clock = clock

    async def take(
        self,
        lease: int,
        holder: state_module.DutyRecord | None,
        last: leadership.LastHolder | None,
        waits: float,
    ) -> Revision:
        """Write a hold over what is known; return the change that did.

        Raises StoreConflict if something else stands there, StoreRefused or
        StoreUnclear.
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
                # What is known here of the last holder may be old: taken
                # for itself, this instance would order at once what
                # another one ordered a moment ago.
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
                    lease=lease,
                ),
                self._last_holder(None, waits),
            ],
        )

    async def knows(self, revision: Revision) -> bool:
        """Tell whether a hold stands in the store."""
        entry = await self._store.get(keys.duty(self._service))
        return entry is not None and entry.revision == revision

    async def describe(self, revision: Revision, waits: float) -> None:
        """Write how long a holder still waits, and who has its texts."""
        await self._store.transact(
            expected=[self._hold(revision)],
            writes=[self._last_holder(None, waits)],
        )

    async def give_back(
        self, revision: Revision, idle: float, waits: float
    ) -> None:
        """Remove a hold, and write what the next holder has to wait for.

        Tries again until the store has it or the hold has ended.
        """
        while True:
            try:
                await self._store.transact(
                    expected=[self._hold(revision)],
                    writes=[self._last_holder(idle, waits)],
                    removals=[keys.duty(self._service)],
                )
                return
            except store_module.StoreConflict:
                # An earlier try was carried out, or the lease ended.
                return
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                log.info(
                    'Duty not given back.',
                    service=self._service,
                    cause=str(error),
                )
                await task.deferLater(self._clock, RETRY_SECONDS)

    def _hold(self, revision: Revision) -> store_module.Expectation:
        return store_module.Expectation(
            key=keys.duty(self._service), revision=revision
        )

    def _last_holder(
        self, idle: float | None, waits: float
    ) -> store_module.Write:
        record = leadership.LastHolder(
            instance=self._instance,
            incarnation=self._incarnation,
            idle_seconds=idle,
            waits=waits,
            standby=self.standby,
        )
        return store_module.Write(
            key=keys.last_holder(self._service),
            value=msgspec.msgpack.encode(record),
        )
