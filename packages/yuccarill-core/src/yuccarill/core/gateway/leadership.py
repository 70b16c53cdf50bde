"""Decide when the holder of a duty may order targets."""

from __future__ import annotations

import math

import msgspec

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import Revision

# Seconds that a lease is given up early, and that a pause is longer than it
# has to be. Clocks of two machines drift by far less over a few seconds;
# the rest covers an order under way.
DRIFT_MARGIN = 0.3


class LastHolder(msgspec.Struct, frozen=True, kw_only=True):
    """Record who held a duty last, beyond the end of its lease."""

    instance: InstanceId
    # The process that held it; a restarted one has lost what it ran.
    incarnation: Incarnation
    # Set by a holder that gave the duty back: seconds since its last order
    # at that time; infinity if it never sent one.
    idle_seconds: float | None = None
    # Seconds that it still had to wait for the holder before it when this
    # was written; 0 once it might order.
    waits: float = 0.0
    # The peer port of the instance that has its texts; empty if none is known
    # to have them all.
    standby: str = ''
    # The change that wrote this record.
    revision: Revision = Revision(0)


class HoldPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set the lease and the pause between two holders, in seconds."""

    lease: float
    # Orders are sent for this long after a renewal was sent. Shorter than
    # the lease, since a successor has to wait it out: the store may take a
    # holder's keys away long before the holder can know.
    order_window: float
    # Orders of two holders may not come to one engine within this time.
    handover_pause: float


class Tenure:
    """Track one held duty as its holder may rely on it."""

    def __init__(
        self,
        epoch: Epoch,
        policy: HoldPolicy,
        renewed_at: Instant,
        orders_from: Instant,
    ) -> None:
        self.epoch = epoch
        self.orders_from = orders_from
        self._policy = policy
        self._renewed_at = renewed_at
        self._last_order_at: Instant | None = None

    def renew(self, sent_at: Instant) -> None:
        """Take a renewal that the store confirmed."""
        # The store counts from when the renewal reached it, this process
        # from before it was sent. Counting from the reply would let a slow
        # reply stretch the lease past the successor's takeover, and two
        # holders would order the same engine.
        self._renewed_at = max(self._renewed_at, sent_at)

    def is_held(self, now: Instant) -> bool:
        """Tell whether work under the duty may go on."""
        return now < self._renewed_at + self._policy.lease - DRIFT_MARGIN

    def may_order(self, now: Instant) -> bool:
        """Tell whether an order may be sent."""
        window_ends = self._renewed_at + self._policy.order_window
        return self.orders_from <= now < window_ends

    def order(self, now: Instant) -> None:
        """Note that an order is sent."""
        self._last_order_at = now

    def idle_seconds(self, now: Instant) -> float:
        """Return the seconds since the last order."""
        if self._last_order_at is None:
            return math.inf
        return now - self._last_order_at


def orders_from(
    me: InstanceId,
    last: LastHolder | None,
    policy: HoldPolicy,
    now: Instant,
) -> Instant:
    """Return when a new holder may send its first order."""
    if last is None:
        # Nobody has held the duty: the record is written with each hold.
        return now
    if last.instance == me:
        # The same machine is the same holder to an engine. But it may have
        # been waiting for the one before it when it was killed; ordering at
        # once, it would do so seconds after that one.
        return Instant(now + last.waits)
    if last.idle_seconds is not None:
        left = policy.handover_pause - last.idle_seconds
        return Instant(now + max(0.0, left, last.waits))
    # The last holder may be frozen or cut off from the store, and may rely
    # on its last renewal for a whole order window, even where the store
    # took the lease's keys away at once. It orders nothing after that, so
    # the window and the pause after it are enough.
    return Instant(now + policy.order_window + policy.handover_pause)
