"""Hold the duty for a service's engines, one instance at a time."""

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

# Seconds that each further instance in the order of candidates waits, so
# that one write decides in most cases.
RANK_SECONDS = 0.15
# Seconds of the holder's lease. Another instance takes the duty over when
# it ends; a shorter one would end each time the store is slow for a moment.
LEASE_SECONDS = 2.5
# Seconds between renewals: two may fail before the lease ends.
RENEWAL_SECONDS = 0.6
# Seconds after a renewal in which orders are sent: one renewal and a slow
# answer of the store fit.
ORDER_WINDOW = 1.3
# Seconds before a duty that was not taken is looked at again.
RETRY_SECONDS = 0.3
# Seconds that the read for a confirmation may take beyond the age wanted.
CONFIRM_SLACK = 0.3
# Seconds that stand for an order never sent.
LONG_AGO = 1e9


class Duty:
    """Contend for one service's duty and track its hold."""

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
        # Whether there is anything to do under the duty.
        self._is_wanted = is_wanted or self._has_targets
        self._holders = holders
        self.tenure: leadership.HeldLease | None = None
        # Nobody else has held the duty since this process last held it.
        self.is_continued = False
        # The peer port of the last holder's standby, where it is known.
        self.last_standby = ''
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
        self._attempt: defer.Deferred[None] | None = None
        self._keeping: defer.Deferred[None] | None = None
        # When the last call was sent that showed the store knew this hold.
        self._confirmed_at = Instant(-math.inf)
        self._confirming: defer.Deferred[None] | None = None
        # The own entry was seen in the store since it was written.
        self._is_seen = False
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
            order_window=ORDER_WINDOW,
            handover_pause=state.settings.handover_pause
            + leadership.DRIFT_MARGIN,
        )

    @property
    def revision(self) -> Revision | None:
        """Return the change that gave this instance the duty, if it did."""
        if self.tenure is None:
            return None
        return Revision(self.tenure.epoch)

    def is_held(self) -> bool:
        """Tell whether work under the duty may go on."""
        return self.tenure is not None and self.tenure.is_held(self._now())

    @property
    def is_elsewhere(self) -> bool:
        """Tell whether another instance is known to hold the duty."""
        holder = self._state.duties_by_service.get(self.service)
        if holder is None:
            return False
        return holder.instance != self._state.settings.instance

    def update(self) -> None:
        """Compare what is known with what this instance holds."""
        holder = self._state.duties_by_service.get(self.service)
        if self.tenure is not None:
            self._check(holder)
        elif self._attempt is None and self._is_free(holder):
            self._contend()

    def _is_free(self, holder: DutyRecord | None) -> bool:
        # A process that was killed finds the duty still under the lease of
        # the one before it on the same instance: waiting for that lease to
        # end would leave the engines without orders for seconds.
        me = self._state.settings.instance
        return holder is None or holder.instance == me

    def confirm_from(self, sent_at: Instant) -> None:
        """Note that the store knew this hold when a call was sent."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    async def confirm(self, max_age: float) -> bool:
        """Tell whether the store knew this hold within some seconds.

        The store may take the key away and go on with the lease, and let
        another instance take the duty: renewals do not show it.
        """
        if self.tenure is None:
            return False
        if self._now() - self._confirmed_at <= max_age:
            return True
        if self._confirming is None:
            self._confirming = defer.Deferred.fromCoroutine(self._read_key())
            self._confirming.addErrback(self._failed)
        waiting: defer.Deferred[None] = defer.Deferred()
        self._confirming.addBoth(_pass_on, waiting)
        await waiting
        age = self._now() - self._confirmed_at
        return self.tenure is not None and age <= max_age + CONFIRM_SLACK

    async def _read_key(self) -> None:
        sent_at = self._now()
        revision = self.revision
        try:
            is_known = revision is not None and await self._keys.knows(
                revision
            )
        finally:
            self._confirming = None
        if revision is None or revision != self.revision:
            return
        if is_known:
            self.confirm_from(sent_at)
        else:
            self._lose('the store does not know it')

    def may_order(self) -> bool:
        """Tell whether an order may be sent."""
        return self.tenure is not None and self.tenure.may_order(self._now())

    def order(self) -> None:
        """Note that an order is sent."""
        if self.tenure is not None:
            self.tenure.record_order(self._now())

    async def release(self) -> None:
        """Give the duty back, telling when the last order was sent.

        Tries again until the store has it or the lease has ended.
        """
        tenure, self.tenure = self.tenure, None
        if tenure is None:
            return
        self._stop_keeping()
        self._on_change()
        now = self._now()
        idle = min(tenure.idle_seconds(now), LONG_AGO)
        waits = max(0.0, tenure.earliest_order_at - now)
        await self._keys.give_back(Revision(tenure.epoch), idle, waits)
        log.info('Duty given back.', service=self.service)

    def give_up(self, revision: Revision) -> None:
        """Take note that the store no longer knows this hold."""
        if self.tenure is not None and self.revision == revision:
            self._lose('the store does not know it')

    def _check(self, holder: DutyRecord | None) -> None:
        assert self.tenure is not None
        epoch = self.tenure.epoch
        if holder is not None and holder.revision > epoch:
            self._lose('another instance has it')
        elif self._lease.id is None:
            self._lose('the lease ended')
        elif holder is None and self._is_seen:
            # The store may take a key away and go on with its lease.
            self._lose('the entry is gone')
        else:
            self._is_seen = self._is_seen or holder is not None
            self.tenure.renew(self._lease.renewed_at)

    def _lose(self, cause: str) -> None:
        assert self.tenure is not None
        log.warning(
            'Duty lost.',
            service=self.service,
            epoch=self.tenure.epoch,
            cause=cause,
        )
        self.tenure = None
        self._stop_keeping()
        self._on_change()
        self._clock.callLater(0, self.update)

    def _stop_keeping(self) -> None:
        keeping, self._keeping = self._keeping, None
        if keeping is not None:
            keeping.cancel()

    def _contend(self) -> None:
        # The record of the last holder has to be known: it says from when
        # on orders may be sent.
        if self._state.is_leaving or not self._state.is_current:
            return
        if not self._is_wanted():
            return
        self._attempt = defer.Deferred.fromCoroutine(self._take())
        self._attempt.addErrback(self._failed)
        self._attempt.addBoth(self._ended)

    async def _wait_turn(self) -> None:
        """Let those go first who had better have the duty.

        A store that let leases run out while it was away gave the duty to
        whoever came first. The last holder lived, and went on with its texts;
        the new one read them for 1.2 s, and might order no engine for 4.6 s.
        """
        last = self._state.last_holders_by_service.get(self.service)
        me = self._state.settings.instance
        if last is not None and last.instance == me:
            return
        wait = RANK_SECONDS * self._rank()
        is_lost = last is None or last.idle_seconds is not None
        if not is_lost and self._holders is not None:
            asked_at = self._clock.seconds()
            assert last is not None
            if await self._holders.is_alive(last.instance, self.service):
                wait += holder_calls.BACK_SECONDS
            wait -= self._clock.seconds() - asked_at
        await task.deferLater(self._clock, max(0.0, wait))

    def _has_targets(self) -> bool:
        return bool(self._state.engines(self.service))

    async def _take(self) -> None:
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
        waits = earliest_order_at - self._now()
        self.last_standby = '' if last is None else last.standby
        self._keys.standby = ''
        revision = await self._keys.take(lease, holder, last, waits)
        earliest_order_at = Instant(self._now() + waits)
        self.is_continued = (
            last is not None and last.incarnation == self._incarnation
        )
        self.tenure = leadership.HeldLease(
            Epoch(revision),
            self._policy,
            self._lease.renewed_at,
            earliest_order_at,
        )
        self._is_seen = False
        self._confirmed_at = self._lease.renewed_at
        self._keeping = defer.Deferred.fromCoroutine(self._lease.keep())
        self._keeping.addErrback(self._failed)
        if waits > 0.0:
            self._clock.callLater(waits, self._waited, revision)
        log.info(
            'Duty taken.',
            service=self.service,
            epoch=revision,
            last_holder=None if last is None else last.instance,
            orders_in=round(waits, 2),
        )
        self._on_change()

    def _waited(self, revision: Revision) -> None:
        # From now on a restart of this instance need not wait again.
        if self.revision != revision:
            return
        self._describe()

    def name_standby(self, address: str) -> None:
        """Let the next holder know the peer port of who has the texts."""
        if address != self._keys.standby and self.is_held():
            self._keys.standby = address
            self._describe()

    def _describe(self) -> None:
        assert self.tenure is not None
        waits = max(0.0, self.tenure.earliest_order_at - self._now())
        writing = defer.Deferred.fromCoroutine(
            self._keys.describe(Revision(self.tenure.epoch), waits)
        )
        writing.addErrback(self._not_described)

    def _not_described(self, failure: Any) -> None:
        # Named again with the standby's next answers.
        self._keys.standby = ''
        self._failed(failure)

    def _rank(self) -> int:
        """Return this instance's place among the candidates."""
        ordered = self._state.candidates(self.service)
        return ordered.index(self._state.settings.instance)

    def _failed(self, failure: Any) -> None:
        if failure.check(
            store_module.StoreConflict,
            store_module.StoreRefused,
            store_module.StoreUnclear,
            store_module.LeaseEnded,
            defer.CancelledError,
        ):
            log.info(
                'Duty not taken.',
                service=self.service,
                cause=repr(failure.value),
                known_holder=self._state.duties_by_service.get(self.service),
                known_last=self._state.last_holders_by_service.get(
                    self.service
                ),
            )
            return
        log.error('Duty failed.', cause=failure.getTraceback())

    def _ended(self, _: object) -> None:
        self._attempt = None
        if self.tenure is None:
            self._clock.callLater(RETRY_SECONDS, self.update)

    def _now(self) -> Instant:
        return lease_module.boot_time()


def _pass_on(result: object, waiting: defer.Deferred[None]) -> object:
    waiting.callback(None)
    return result
