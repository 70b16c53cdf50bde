"""Keep this instance's lease at the store and the keys that live with it."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Store

log = logs.for_part('session')

# Seconds of the lease. Another instance takes a duty over when it ends; a
# shorter one would end each time the store is slow for a moment.
LEASE_SECONDS = 2.5
# Seconds between renewals: two may fail before the lease ends.
RENEWAL_SECONDS = 0.6
RETRY_SECONDS = 0.2


def boot_time() -> Instant:
    """Return seconds on a clock that counts while the machine stands still.

    The monotonic clock does not: after a suspension, a lease that ended
    long ago would look valid, and two holders would order one engine.
    """
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


class Session:
    """Hold one lease after the other."""

    def __init__(self, state: GatewayState, store: Store, clock: Any) -> None:
        self.lease: int | None = None
        # When the last renewal that succeeded was sent.
        self.renewed_at = Instant(0.0)
        self._state = state
        self._store = store
        self._clock = clock
        self._now = boot_time
        self._listeners: list[Callable[[], None]] = []
        self._is_ended = False
        self._is_lost = False
        # Called when the store is reached again after it was away.
        self.on_return: Callable[[], None] = lambda: None

    def listen(self, on_change: Callable[[], None]) -> None:
        """Call a function after each renewal and each loss of the lease."""
        self._listeners.append(on_change)

    async def follow(self) -> None:
        """Open, renew and open again, until cancelled."""
        pause = RENEWAL_SECONDS
        while not self._is_ended:
            try:
                await self._renew()
                pause = RENEWAL_SECONDS
            except store_module.LeaseEnded:
                self._lose()
                pause = 0.0
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                log.warning('Lease not renewed.', cause=str(error))
                self._is_lost = True
                pause = RETRY_SECONDS
            await task.deferLater(self._clock, pause)

    async def leave(self) -> None:
        """Tell the others that this instance takes no new work."""
        if self.lease is not None:
            await self._register(self.lease)

    async def end(self) -> None:
        """End the lease, and with it this instance's keys."""
        self._is_ended = True
        lease, self.lease = self.lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _renew(self) -> None:
        sent_at = self._now()
        if self.lease is None:
            lease = await self._store.open_lease(LEASE_SECONDS)
            await self._register(lease)
            self.lease = lease
            log.info('Lease opened.', lease=lease)
        else:
            await self._store.keep_lease(self.lease)
        self.renewed_at = sent_at
        if self._is_lost:
            self._is_lost = False
            self.on_return()
        self._tell()

    async def _register(self, lease: int) -> None:
        settings = self._state.settings
        record = state_module.InstanceRecord(
            instance=settings.instance,
            data_centre=settings.data_centre,
            client_address=settings.client_address,
            peer_address=settings.peer_address,
            is_leaving=self._state.is_leaving,
        )
        write = store_module.Write(
            key=keys.instance(settings.instance),
            value=msgspec.msgpack.encode(record),
            lease=lease,
        )
        await self._store.transact(writes=[write])

    def _lose(self) -> None:
        log.warning('Lease ended.', lease=self.lease)
        self.lease = None
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
