"""Open and renew a lease in the store."""

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

RETRY_SECONDS = 0.2


def seconds_since_boot() -> Instant:
    """Return seconds on a clock that also counts while the machine sleeps.

    On a clock that stops during suspension, an expired lease would look valid
    and two holders would send orders to one engine.
    """
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


class Lease:
    """Renew one store lease until it expires or is revoked."""

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
        # Send time of the last successful renewal, by seconds_since_boot().
        self.renewed_at = Instant(0.0)
        # Called when the store is reachable again after an outage.
        self.on_store_recovery: Callable[[], None] = lambda: None
        self._store = store
        self._seconds = seconds
        self._renewal_seconds = renewal_seconds
        self._on_change = on_change
        self._clock = clock
        # Whether retries in a store outage have a fixed interval, no backoff.
        self._is_urgent = is_urgent
        self._is_store_unreachable = False

    async def open(self) -> int:
        """Open a lease and return its ID.

        Raises StoreRefused or StoreOutcomeUnknown.
        """
        sent_at = seconds_since_boot()
        self.id = await self._store.open_lease(self._seconds)
        self.renewed_at = sent_at
        return self.id

    async def keep(self) -> None:
        """Renew the lease until it ends or this call is cancelled."""
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
        """Revoke the lease; the store then deletes the keys under it."""
        lease_id, self.id = self.id, None
        if lease_id is not None:
            await self._store.end_lease(lease_id)

    async def _renew(self, lease_id: int) -> bool:
        """Send a renewal; return False if it has to be retried."""
        sent_at = seconds_since_boot()
        try:
            await self._store.renew_lease(lease_id)
        except store_module.LeaseEnded:
            log.warning('Store no longer has the lease.', lease=lease_id)
            if self.id == lease_id:
                self.id = None
                self._on_change()
            self._end_outage()
            return True
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            if not self._is_store_unreachable:
                log.warning('Lease renewal failed.', cause=str(error))
            self._is_store_unreachable = True
            return False
        self.renewed_at = sent_at
        self._end_outage()
        self._on_change()
        return True

    def _end_outage(self) -> None:
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            log.info('Store reached again.')
            self.on_store_recovery()
