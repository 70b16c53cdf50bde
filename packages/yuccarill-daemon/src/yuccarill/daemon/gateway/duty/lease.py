"""Keep one lease of the store."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.platform.store import Store

log = logs.for_part('lease')

# Seconds before a renewal that failed is tried again.
RETRY_SECONDS = 0.2


def boot_time() -> Instant:
    """Return seconds on a clock that counts while the machine stands still.

    The monotonic clock does not: after a suspension, a lease that ended
    long ago would look valid, and two holders would order one engine.
    """
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


class Lease:
    """Renew a lease until it ends."""

    def __init__(
        self,
        store: Store,
        seconds: float,
        renewal_seconds: float,
        on_change: Callable[[], None],
        clock: Any,
        *,
        is_urgent: bool,
    ) -> None:
        self.id: int | None = None
        # When the last renewal that succeeded was sent.
        self.renewed_at = Instant(0.0)
        # Called when the store is reached again after it was away.
        self.on_return: Callable[[], None] = lambda: None
        self._store = store
        self._seconds = seconds
        self._renewal_seconds = renewal_seconds
        self._on_change = on_change
        self._clock = clock
        # Whether it is tried again at short intervals while the store is
        # away: once it is back, each lost moment counts.
        self._is_urgent = is_urgent
        self._is_lost = False

    async def open(self) -> int:
        """Open a lease.

        Raises StoreRefused or StoreUnclear.
        """
        sent_at = boot_time()
        self.id = await self._store.open_lease(self._seconds)
        self.renewed_at = sent_at
        return self.id

    async def keep(self) -> None:
        """Renew until the lease ends, or until cancelled."""
        is_renewed = True
        while self.id is not None:
            if is_renewed:
                await task.deferLater(self._clock, self._renewal_seconds)
            elif self._is_urgent:
                await task.deferLater(self._clock, RETRY_SECONDS)
            else:
                await self._store.pause(RETRY_SECONDS)
            is_renewed = await self._renew(self.id)

    async def end(self) -> None:
        """End the lease, and with it its keys."""
        ended, self.id = self.id, None
        if ended is not None:
            await self._store.end_lease(ended)

    async def _renew(self, lease: int) -> bool:
        """Tell whether nothing has to be tried again."""
        sent_at = boot_time()
        try:
            await self._store.keep_lease(lease)
        except store_module.LeaseEnded:
            log.warning('Lease ended.', lease=lease)
            if self.id == lease:
                self.id = None
                self._on_change()
            self._returned()
            return True
        except (
            store_module.StoreRefused,
            store_module.StoreUnclear,
        ) as error:
            if not self._is_lost:
                log.warning('Lease not renewed.', cause=str(error))
            self._is_lost = True
            return False
        self.renewed_at = sent_at
        self._returned()
        self._on_change()
        return True

    def _returned(self) -> None:
        if self._is_lost:
            self._is_lost = False
            log.info('Store reached again.')
            self.on_return()
