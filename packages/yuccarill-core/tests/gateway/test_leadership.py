"""Test when the holder of a duty may send orders to engines."""

from __future__ import annotations

import math
import unittest

from nose2.tools import params

from yuccarill.core.gateway import leadership
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant

POLICY = leadership.HoldPolicy(lease=2.5, order_window=1.3, handover_pause=3.3)
ME = InstanceId('a')


def last(
    instance: str, idle_seconds: float | None = None, waits: float = 0.0
) -> leadership.LastHolder:
    return leadership.LastHolder(
        instance=InstanceId(instance),
        incarnation=Incarnation('1'),
        idle_seconds=idle_seconds,
        waits=waits,
    )


class OrdersFromTest(unittest.TestCase):
    # Guards against orders of two holders to one engine within three seconds.
    # A partitioned holder continues until its order window ends.
    @params(
        (None, 100.0),
        (last('a'), 100.0),
        (last('b'), 104.6),
        (last('b', 0.0), 103.3),
        (last('b', 2.0), 101.3),
        (last('b', 9.0), 100.0),
        (last('a', waits=2.0), 102.0),
        (last('b', 9.0, waits=2.0), 102.0),
        (last('b', 0.0, waits=2.0), 103.3),
    )
    def test_new_holder_waits_for_the_last_one(
        self, known: leadership.LastHolder | None, expected: float
    ) -> None:
        found = leadership.earliest_order_at(ME, known, POLICY, Instant(100.0))
        self.assertAlmostEqual(expected, found)


class TenureTest(unittest.TestCase):
    def held_lease(self) -> leadership.HeldLease:
        return leadership.HeldLease(
            Epoch(7), POLICY, Instant(10.0), Instant(10.0)
        )

    @params(
        (10.0, True, True),
        (11.2, True, True),
        (11.4, False, True),
        (12.1, False, True),
        (12.3, False, False),
    )
    def test_orders_end_before_the_lease(
        self, now: float, may_order: bool, is_held: bool
    ) -> None:
        held_lease = self.held_lease()
        self.assertEqual(may_order, held_lease.may_order(Instant(now)))
        self.assertEqual(is_held, held_lease.is_held(Instant(now)))

    def test_the_lease_counts_from_sending_the_renewal(self) -> None:
        """Guards against a slow reply that extends the lease."""
        held_lease = self.held_lease()
        held_lease.renew(Instant(11.0))
        self.assertFalse(held_lease.is_held(Instant(13.4)))

    def test_an_old_renewal_does_not_shorten_the_lease(self) -> None:
        held_lease = self.held_lease()
        held_lease.renew(Instant(12.0))
        held_lease.renew(Instant(11.0))
        self.assertTrue(held_lease.is_held(Instant(14.0)))

    def test_no_order_before_the_pause_is_over(self) -> None:
        held_lease = leadership.HeldLease(
            Epoch(7), POLICY, Instant(10.0), Instant(14.6)
        )
        held_lease.renew(Instant(14.0))
        self.assertFalse(held_lease.may_order(Instant(14.5)))
        self.assertTrue(held_lease.may_order(Instant(14.7)))

    def test_idle_seconds_count_from_the_last_order(self) -> None:
        held_lease = self.held_lease()
        self.assertEqual(math.inf, held_lease.idle_seconds(Instant(11.0)))
        held_lease.record_order(Instant(11.0))
        self.assertEqual(2.0, held_lease.idle_seconds(Instant(13.0)))


class TwoHoldersTest(unittest.TestCase):
    # Guards against orders less than three seconds apart if the store deletes
    # the keys of a partitioned holder at once.
    @params(0.0, 0.3, 0.6, 1.0, 1.29)
    def test_orders_of_two_holders_are_separated(
        self, cut_after_renewal: float
    ) -> None:
        old = leadership.HeldLease(
            Epoch(1), POLICY, Instant(0.0), Instant(0.0)
        )
        deleted_at = Instant(cut_after_renewal)
        first = leadership.earliest_order_at(
            InstanceId('b'), last('a'), POLICY, deleted_at
        )
        steps = [Instant(step * 0.01) for step in range(2000)]
        last_old = max(now for now in steps if old.may_order(now))
        self.assertGreaterEqual(first - last_old, 3.0)
