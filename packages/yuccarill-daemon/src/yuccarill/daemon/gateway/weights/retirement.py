"""Confirm requests of operators to retire an instance with a disk."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import operators
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.platform.store import Store

log = logs.for_part('retirement')

RETRY_SECONDS = 0.3


class Retirement:
    """Confirm each retirement at once: no data is kept on disks."""

    def __init__(self, store: Store, clock: Any) -> None:
        self._store = store
        self._clock = clock

    def confirm(self, instance: InstanceId) -> None:
        """Write the confirmation in the background, with retries."""
        log.info('Retirement requested.', instance=instance)
        confirming = defer.Deferred.fromCoroutine(self._confirm(instance))
        confirming.addErrback(
            lambda failure: log.error(
                'Retirement confirmation failed.', cause=failure.getTraceback()
            )
        )

    async def _confirm(self, instance: InstanceId) -> None:
        key = keys.retirement(instance)
        write = store_module.Write(key=key, value=operators.retirement_done())
        absent = store_module.Expectation(
            key=key, revision=store_module.ABSENT
        )
        while True:
            try:
                await self._store.transact([absent], [write])
                log.info('Retirement completed.', instance=instance)
                return
            except store_module.StoreConflict:
                # Another instance has confirmed the retirement.
                return
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ):
                await task.deferLater(self._clock, RETRY_SECONDS)
