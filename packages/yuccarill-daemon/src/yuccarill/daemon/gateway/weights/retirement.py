"""Answer operators who want a disk instance emptied."""

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
    """Report at once that an instance is empty: nothing is kept on disks."""

    def __init__(self, store: Store, clock: Any) -> None:
        self._store = store
        self._clock = clock

    def answer(self, instance: InstanceId) -> None:
        """Answer in the background, until the store has the answer."""
        log.info('Retirement asked.', instance=instance)
        answering = defer.Deferred.fromCoroutine(self._answer(instance))
        answering.addErrback(
            lambda failure: log.error(
                'Not answered.', cause=failure.getTraceback()
            )
        )

    async def _answer(self, instance: InstanceId) -> None:
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
                # Another instance has answered.
                return
            except (store_module.StoreRefused, store_module.StoreUnclear):
                await task.deferLater(self._clock, RETRY_SECONDS)
