"""Keep this instance registered in the store while it is alive."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.daemon.gateway.duty import lease as lease_module
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Store

log = logs.for_part('session')

# A dead instance stays in the directory for this long. Clients skip a failed
# address, and a shorter lease costs the store more renewals.
LEASE_SECONDS = 4.5
# Leaves half of the lease for retries of a failed renewal. 165 instances make
# 83 renewals a second.
RENEWAL_SECONDS = 2.0
# Time from a write until the entry, if still missing, is written again.
MISSING_ENTRY_SECONDS = 2.0


class Session:
    """Register this instance, with a new lease whenever one ends."""

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        on_change: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._store = store
        self._clock = clock
        self._written_at = 0.0
        self._is_ended = False
        self.lease = lease_module.Lease(
            store,
            LEASE_SECONDS,
            RENEWAL_SECONDS,
            on_change,
            clock,
            is_urgent=False,
        )

    async def keep_registered(self) -> None:
        """Register and renew the lease until end() or cancellation."""
        while not self._is_ended:
            try:
                await self.lease.open()
                await self._register()
                await self.lease.keep()
            except store_module.LeaseEnded:
                continue
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                log.warning('Instance registration failed.', cause=str(error))
                await self._store.pause(lease_module.RETRY_SECONDS)

    async def restore_registration(self) -> None:
        """Register again if the entry was deleted while its lease is valid."""
        own_id = self._state.settings.instance
        if self.lease.id is None or not self._state.is_current:
            return
        if own_id in self._state.instances_by_id:
            return
        now = self._clock.seconds()
        if now >= self._written_at + MISSING_ENTRY_SECONDS:
            self._written_at = now
            log.warning('Instance entry is missing; registering again.')
            await self._register()

    async def leave(self) -> None:
        """Publish that this instance is leaving and accepts no new work."""
        if self.lease.id is not None:
            await self._register()

    async def end(self) -> None:
        """Revoke the lease, which deletes this instance's entry."""
        self._is_ended = True
        await self.lease.end()

    async def _register(self) -> None:
        lease = self.lease.id
        if lease is None:
            return
        self._written_at = self._clock.seconds()
        settings = self._state.settings
        record = state_module.InstanceRecord(
            instance=settings.instance,
            data_centre=settings.data_centre,
            client_address=settings.client_address,
            peer_address=settings.peer_address,
            cores=settings.cores,
            is_leaving=self._state.is_leaving,
        )
        write = store_module.Write(
            key=keys.instance(settings.instance),
            value=msgspec.msgpack.encode(record),
            lease=lease,
        )
        await self._store.transact(writes=[write])
        log.info(
            'Instance registered.', lease=lease, is_leaving=record.is_leaving
        )
