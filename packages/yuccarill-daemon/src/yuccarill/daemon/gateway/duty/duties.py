"""Hold a duty: a role that one instance at a time holds under a lease.

The holder of a service's duty alone sends orders to the service's engines.
"""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway import leadership
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import Instant
from yuccarill.core.ids import Revision
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway.duty import duty_keys
from yuccarill.daemon.gateway.duty import holder_calls
from yuccarill.daemon.gateway.duty import lease as lease_module
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.duty.holder_calls import HolderCalls
    from yuccarill.daemon.gateway.state import DutyRecord
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Store

log = logs.for_part('duty')

# Delay per rank among the candidates, so that usually only one writes.
RANK_SECONDS = 0.15
# A lost holder blocks the duty up to this long; outlasts short store delays.
LEASE_SECONDS = 2.5
# Two renewals in a row can fail before the lease expires.
RENEWAL_SECONDS = 0.6
# Time after a renewal in which orders are sent; covers one slow renewal.
ORDER_WINDOW_SECONDS = 1.3
RETRY_SECONDS = 0.3
# Added to the maximum age in confirm(), to cover the read of the store.
CONFIRM_SECONDS = 0.3
# Idle time that is recorded if no order was sent.
NEVER_ORDERED_SECONDS = 1e9


class Duty:
    """Contend for one duty and track its lease."""

    def __init__(
        self,
        service: ServiceName,
        state: GatewayState,
        store: Store,
        on_change: Callable[[], None],
        clock: Any,
        is_wanted: Callable[[], bool] | None = None,
        holders: HolderCalls | None = None,
    ) -> None:
        self.service = service
        # Whether the duty has work; by default, whether engines exist.
        self._is_wanted = is_wanted or self._has_targets
        self._holder_calls = holders
        self.held_lease: leadership.HeldLease | None = None
        # Whether no other process held the duty between two holds of this one.
        self.is_reacquired = False
        # Peer address of the last holder's standby; empty if unknown.
        self.last_standby_address = ''
        self._incarnation = Incarnation(uuid.uuid4().hex)
        self._state = state
        self._keys = duty_keys.DutyKeys(
            service,
            state.settings.instance,
            self._incarnation,
            store,
            clock,
        )
        self._on_change = on_change
        self._clock = clock
        self._acquisition: defer.Deferred[None] | None = None
        self._renewing: defer.Deferred[None] | None = None
        # Send time of the last call that proved this instance's hold.
        self._confirmed_at = Instant(-math.inf)
        self._confirming: defer.Deferred[None] | None = None
        # Whether this instance's entry was observed since its write.
        self._is_observed = False
        self._lease = lease_module.Lease(
            store,
            LEASE_SECONDS,
            RENEWAL_SECONDS,
            self.update,
            clock,
            is_urgent=True,
        )
        self._policy = leadership.HoldPolicy(
            lease=LEASE_SECONDS,
            order_window=ORDER_WINDOW_SECONDS,
            handover_pause=state.settings.handover_pause
            + leadership.DRIFT_MARGIN,
        )

    @property
    def revision(self) -> Revision | None:
        """Return the store revision that granted the duty, if held."""
        if self.held_lease is None:
            return None
        return Revision(self.held_lease.epoch)

    def is_held(self) -> bool:
        """Return whether this instance holds a valid lease of the duty."""
        return self.held_lease is not None and self.held_lease.is_held(
            self._now()
        )

    @property
    def is_held_elsewhere(self) -> bool:
        """Return whether another instance is known to hold the duty."""
        holder = self._state.duties_by_service.get(self.service)
        if holder is None:
            return False
        return holder.instance != self._state.settings.instance

    def update(self) -> None:
        """Check this instance's hold, or contend for a free duty."""
        holder = self._state.duties_by_service.get(self.service)
        if self.held_lease is not None:
            self._check_hold(holder)
        elif self._acquisition is None and self._is_free(holder):
            self._contend()

    def _is_free(self, holder: DutyRecord | None) -> bool:
        # A restarted process replaces the entry of its previous process, or
        # engines would get no orders until the previous lease expires.
        own_id = self._state.settings.instance
        return holder is None or holder.instance == own_id

    def record_confirmation(self, sent_at: Instant) -> None:
        """Record that the hold was valid in the store at a send time."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    async def confirm(self, max_age: float) -> bool:
        """Return whether the store held this hold at most max_age seconds ago.

        A lease renewal is no proof: the store can delete the key, keep the
        lease and grant the duty to another instance.
        """
        if self.held_lease is None:
            return False
        if self._now() - self._confirmed_at <= max_age:
            return True
        if self._confirming is None:
            self._confirming = defer.Deferred.fromCoroutine(self._read_key())
            self._confirming.addErrback(self._failed)
        waiting: defer.Deferred[None] = defer.Deferred()
        self._confirming.addBoth(_notify_waiter, waiting)
        await waiting
        age = self._now() - self._confirmed_at
        return self.held_lease is not None and age <= max_age + CONFIRM_SECONDS

    async def _read_key(self) -> None:
        sent_at = self._now()
        revision = self.revision
        try:
            is_in_store = revision is not None and await self._keys.has_hold(
                revision
            )
        finally:
            self._confirming = None
        if revision is None or revision != self.revision:
            return
        if is_in_store:
            self.record_confirmation(sent_at)
        else:
            self._drop_hold('the store has no entry of this hold')

    def can_send_orders(self) -> bool:
        """Return whether an order may be sent to an engine."""
        return self.held_lease is not None and self.held_lease.may_order(
            self._now()
        )

    def record_order(self) -> None:
        """Record that an order is sent."""
        if self.held_lease is not None:
            self.held_lease.record_order(self._now())

    async def release(self) -> None:
        """Release the duty and record the time since the last order.

        Retries until the store accepts or the lease has expired.
        """
        held_lease, self.held_lease = self.held_lease, None
        if held_lease is None:
            return
        self._stop_renewing()
        self._on_change()
        now = self._now()
        idle = min(held_lease.idle_seconds(now), NEVER_ORDERED_SECONDS)
        wait = max(0.0, held_lease.earliest_order_at - now)
        await self._keys.release_hold(Revision(held_lease.epoch), idle, wait)
        log.info('Duty given back.', service=self.service)

    def drop_hold(self, revision: Revision) -> None:
        """Drop the hold of a revision that the store no longer has."""
        if self.held_lease is not None and self.revision == revision:
            self._drop_hold('the store has no entry of this hold')

    def _check_hold(self, holder: DutyRecord | None) -> None:
        assert self.held_lease is not None
        epoch = self.held_lease.epoch
        if holder is not None and holder.revision > epoch:
            self._drop_hold('another instance holds the duty')
        elif self._lease.id is None:
            self._drop_hold('the lease ended')
        elif holder is None and self._is_observed:
            # The store can delete a key and keep its lease.
            self._drop_hold('the entry of this hold was deleted')
        else:
            self._is_observed = self._is_observed or holder is not None
            self.held_lease.renew(self._lease.renewed_at)

    def _drop_hold(self, cause: str) -> None:
        assert self.held_lease is not None
        log.warning(
            'Duty lost.',
            service=self.service,
            epoch=self.held_lease.epoch,
            cause=cause,
        )
        self.held_lease = None
        self._stop_renewing()
        self._on_change()
        self._clock.callLater(0, self.update)

    def _stop_renewing(self) -> None:
        renewing, self._renewing = self._renewing, None
        if renewing is not None:
            renewing.cancel()

    def _contend(self) -> None:
        # A stale copy of the store may lack the last holder's record, which
        # determines when this instance may send orders.
        if self._state.is_leaving or not self._state.is_current:
            return
        if not self._is_wanted():
            return
        self._acquisition = defer.Deferred.fromCoroutine(self._acquire())
        self._acquisition.addErrback(self._failed)
        self._acquisition.addBoth(self._acquisition_ended)

    async def _wait_turn(self) -> None:
        """Wait for the last holder, if it is alive, and for better candidates.

        Leases can expire during a store outage. The last holder resumes at
        once; a new one would read all texts and wait for the handover pause.
        """
        last = self._state.last_holders_by_service.get(self.service)
        own_id = self._state.settings.instance
        if last is not None and last.instance == own_id:
            return
        wait = RANK_SECONDS * self._rank()
        is_released = last is None or last.idle_seconds is not None
        if not is_released and self._holder_calls is not None:
            asked_at = self._clock.seconds()
            assert last is not None
            if await self._holder_calls.request_reclaim(
                last.instance, self.service
            ):
                wait += holder_calls.RECLAIM_SECONDS
            wait -= self._clock.seconds() - asked_at
        await task.deferLater(self._clock, max(0.0, wait))

    def _has_targets(self) -> bool:
        return bool(self._state.engines(self.service))

    async def _acquire(self) -> None:
        if self.service not in self._state.duties_by_service:
            await self._wait_turn()
        holder = self._state.duties_by_service.get(self.service)
        if self._state.is_leaving or not self._is_free(holder):
            return
        lease = await self._lease.open()
        last = self._state.last_holders_by_service.get(self.service)
        earliest_order_at = leadership.earliest_order_at(
            self._state.settings.instance, last, self._policy, self._now()
        )
        wait = earliest_order_at - self._now()
        self.last_standby_address = '' if last is None else last.standby
        self._keys.standby = ''
        revision = await self._keys.acquire(lease, holder, last, wait)
        earliest_order_at = Instant(self._now() + wait)
        self.is_reacquired = (
            last is not None and last.incarnation == self._incarnation
        )
        self.held_lease = leadership.HeldLease(
            Epoch(revision),
            self._policy,
            self._lease.renewed_at,
            earliest_order_at,
        )
        self._is_observed = False
        self._confirmed_at = self._lease.renewed_at
        self._renewing = defer.Deferred.fromCoroutine(
            background.keep_running(
                self._lease.keep, f'lease of {self.service}', self._clock
            )
        )
        self._renewing.addErrback(self._failed)
        if wait > 0.0:
            self._clock.callLater(wait, self._handover_wait_ended, revision)
        log.info(
            'Duty taken.',
            service=self.service,
            epoch=revision,
            last_holder=None if last is None else last.instance,
            orders_in=round(wait, 2),
        )
        self._on_change()

    def _handover_wait_ended(self, revision: Revision) -> None:
        # Without this write, a restart of this instance would wait again.
        if self.revision != revision:
            return
        self._write_last_holder()

    def record_standby(self, address: str) -> None:
        """Record the peer address of the standby for the next holder."""
        if address != self._keys.standby and self.is_held():
            self._keys.standby = address
            self._write_last_holder()

    def _write_last_holder(self) -> None:
        assert self.held_lease is not None
        wait = max(0.0, self.held_lease.earliest_order_at - self._now())
        writing = defer.Deferred.fromCoroutine(
            self._keys.write_wait(Revision(self.held_lease.epoch), wait)
        )
        writing.addErrback(self._last_holder_write_failed)

    def _last_holder_write_failed(self, failure: Any) -> None:
        # With no address kept, the next record_standby() call writes again.
        self._keys.standby = ''
        self._failed(failure)

    def _rank(self) -> int:
        """Return this instance's rank among the candidates."""
        ordered = self._state.candidates(self.service)
        return ordered.index(self._state.settings.instance)

    def _failed(self, failure: Any) -> None:
        if failure.check(
            store_module.StoreConflict,
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
            store_module.LeaseEnded,
            defer.CancelledError,
        ):
            log.info(
                'Store request for a duty did not succeed.',
                service=self.service,
                cause=repr(failure.value),
                known_holder=self._state.duties_by_service.get(self.service),
                known_last=self._state.last_holders_by_service.get(
                    self.service
                ),
            )
            return
        log.error('Unexpected error in a duty.', cause=failure.getTraceback())

    def _acquisition_ended(self, _: object) -> None:
        self._acquisition = None
        if self.held_lease is None:
            self._clock.callLater(RETRY_SECONDS, self.update)

    def _now(self) -> Instant:
        return lease_module.seconds_since_boot()


def _notify_waiter(result: object, waiting: defer.Deferred[None]) -> object:
    waiting.callback(None)
    return result
