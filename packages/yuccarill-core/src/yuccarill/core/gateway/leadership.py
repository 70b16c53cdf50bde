"""Decide when the lease holder of a duty may send orders to targets."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import Revision

# Seconds by which a holder gives up its lease early and a pause is extended;
# covers clock drift between machines and an order in flight.
DRIFT_MARGIN = 0.3


class LastHolder(msgspec.Struct, frozen=True, kw_only=True):
    """Record the last holder of a duty; outlives the lease."""

    instance: InstanceId
    # The process that held the duty; its runs are lost if it restarted.
    incarnation: Incarnation
    # Seconds from the holder's last order to its release of the duty; infinity
    # if it never sent one, None if it did not release the duty.
    idle_seconds: float | None = None
    # Seconds that the holder still had to wait for its predecessor when the
    # record was written; 0 once it may send orders.
    waits: float = 0.0
    # Peer address of the instance that replicates the texts generated for the
    # holder; empty if no instance is known to have all texts.
    standby: str = ''
    # Store revision that wrote this record.
    revision: Revision = Revision(0)


class HoldPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the lease and the handover pause, in seconds."""

    lease: float
    # Time after sending a renewal in which orders may be sent. A successor
    # waits for this time, since the store may delete a holder's keys before
    # the holder learns of it. Shorter than the lease to limit that wait.
    order_window: float
    # Minimum time between orders of two holders to one engine.
    handover_pause: float


class HeldLease:
    """Track the lease of one duty from its holder's point of view."""

    def __init__(
        self,
        epoch: Epoch,
        policy: HoldPolicy,
        renewed_at: Instant,
        earliest_order_at: Instant,
    ) -> None:
        self.epoch = epoch
        self.earliest_order_at = earliest_order_at
        self._policy = policy
        self._renewed_at = renewed_at
        self._last_order_at: Instant | None = None

    def renew(self, sent_at: Instant) -> None:
        """Extend the lease after the store confirmed a renewal."""
        # The lease starts when the renewal is sent. If it started at the
        # reply, a slow reply would extend the lease past the successor's
        # takeover, and two holders would send orders to the same engine.
        self._renewed_at = max(self._renewed_at, sent_at)

    def is_held(self, now: Instant) -> bool:
        """Return whether the lease is valid."""
        return now < self._renewed_at + self._policy.lease - DRIFT_MARGIN

    def may_order(self, now: Instant) -> bool:
        """Return whether an order may be sent."""
        window_ends_at = self._renewed_at + self._policy.order_window
        return self.earliest_order_at <= now < window_ends_at

    def record_order(self, now: Instant) -> None:
        """Record that an order is sent."""
        self._last_order_at = now

    def idle_seconds(self, now: Instant) -> float:
        """Return the seconds since the last order."""
        if self._last_order_at is None:
            return math.inf
        return now - self._last_order_at


def earliest_order_at(
    me: InstanceId,
    last: LastHolder | None,
    policy: HoldPolicy,
    now: Instant,
) -> Instant:
    """Return when a new holder may send its first order."""
    if last is None:
        # The duty never had a holder, since each holder writes the record.
        return now
    if last.instance == me:
        # Engines treat a restarted instance as the same holder. It may have
        # been killed while it waited for its predecessor, so the rest of that
        # wait still applies.
        return Instant(now + last.waits)
    if last.idle_seconds is not None:
        remaining = policy.handover_pause - last.idle_seconds
        return Instant(now + max(0.0, remaining, last.waits))
    # The last holder may be frozen or partitioned from the store and may send
    # orders until its order window ends, even if the store has already deleted
    # its keys. So the successor waits for the window and the pause.
    return Instant(now + policy.order_window + policy.handover_pause)
