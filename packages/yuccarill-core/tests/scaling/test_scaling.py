"""Test when targets are ordered, under loads and failures.

Models trainers that send a burst of requests every four seconds. A service
shrinks after two bursts with less than half of its slots busy, and grows at
once.
"""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.core.scaling import measure as measure_module
from yuccarill.core.scaling import plan
from yuccarill.core.scaling.plan import OrderEnd
from yuccarill.core.scaling.plan import TargetKind
from yuccarill.core.scaling import scaling

SERVICE = ServiceName('engines')
CENTRES = tuple(DataCentreId(name) for name in 'abc')
REGULAR = TargetKind.REGULAR
SLOTS = 6
STEP = 0.25
WINDOW = 8.0
IDLE = 60.0
BOOT = 4.0


class World:
    """Simulate the platform."""

    def __init__(self, count: int = 8) -> None:
        self.now = Instant(100.0)
        self.listed = {(centre, REGULAR): count for centre in CENTRES}
        self.sent: list[tuple[Instant, plan.TargetOrder]] = []
        self.end = OrderEnd.ACCEPTED
        self.executes_orders = True
        # Data centres without capacity.
        self.unavailable: set[DataCentreId] = set()
        self.bounds = plan.ScalingBounds(least=1, most=16, boot_seconds=BOOT)
        self.replace_holder()

    def replace_holder(self) -> None:
        """Replace the holder by one that only knows the target list."""
        self.measure = measure_module.WorkMeasure(WINDOW, IDLE)
        self.scaling = scaling.Scaling(SERVICE, scaling.ScalingPolicy())

    def run(self, seconds: float, busy: int, waiting: int = 0) -> None:
        """Advance time under a load."""
        for _ in range(round(seconds / STEP)):
            self.now = Instant(self.now + STEP)
            sample = measure_module.WorkSample(self.now, busy, waiting)
            self.measure.add(sample)
            self._send_orders()

    def _send_orders(self) -> None:
        for order in self.scaling.orders(
            self.bounds, SLOTS, self.measure, dict(self.listed), self.now
        ):
            self.scaling.record_sent(order, self.now)
            self.sent.append((self.now, order))
            if order.data_centre in self.unavailable:
                end = OrderEnd.UNAVAILABLE
                self.scaling.record_result(order, end, self.now)
                continue
            self.scaling.record_result(order, self.end, self.now)
            if self.executes_orders:
                self.listed[order.data_centre, order.kind] = order.count

    @property
    def total(self) -> int:
        return sum(self.listed.values())


class LoadTest(unittest.TestCase):
    # Busy slots, targets per data centre before, targets of all after.
    @params(
        ('a low load', 34, 8, 13),
        ('no load', 0, 8, 3),
        ('the load of all targets', 72, 8, 24),
        ('twice the load', 120, 8, 40),
        ('a load above the limit', 900, 8, 48),
    )
    def test_targets_follow_the_load(
        self, name: str, busy: int, before: int, after: int
    ) -> None:
        world = World(before)
        world.run(180.0, busy)
        self.assertLessEqual(abs(world.total - after), 1, name)

    def test_more_are_ordered_within_a_second(self) -> None:
        world = World(2)
        world.run(WINDOW, 10)
        world.sent.clear()
        began_at = world.now
        world.run(2.0, 36, waiting=200)
        self.assertLessEqual(world.sent[0][0] - began_at, 1.0)

    def test_bursts_release_no_targets(self) -> None:
        world = World()
        for _ in range(20):
            world.run(2.0, 140)
            world.run(2.0, 4)
        self.assertGreaterEqual(world.total, 24)

    def test_no_targets_are_released_before_two_bursts(self) -> None:
        world = World()
        world.run(16.0, 0)
        world.run(WINDOW - STEP, 30)
        self.assertEqual([], world.sent)

    def test_a_short_dip_releases_no_targets(self) -> None:
        world = World()
        world.run(20.0, 72)
        world.run(1.5, 30)
        world.run(0.75, 160)
        world.run(20.0, 72)
        self.assertFalse([o for _, o in world.sent if o.count < 8])

    def test_no_data_centre_shrinks_while_others_grow(self) -> None:
        world = World(2)
        world.listed[CENTRES[0], REGULAR] = 10
        world.run(BOOT + 1.0, 48)
        ordered = {o.data_centre for _, o in world.sent}
        self.assertEqual(set(CENTRES[1:]), ordered)

    def test_few_targets_are_released_at_once(self) -> None:
        world = World()
        world.run(60.0, 30)
        at_first = sum(
            8 - order.count
            for at, order in world.sent
            if at == world.sent[0][0]
        )
        self.assertLessEqual(at_first, 6)


class FailureTest(unittest.TestCase):
    def test_a_new_successor_releases_no_targets(self) -> None:
        """Guards against a fleet emptied by a holder without samples."""
        world = World()
        world.replace_holder()
        world.run(20.0, 0)
        self.assertEqual([], world.sent)

    def test_crashed_targets_are_not_released(self) -> None:
        """Guards against a loss that is mistaken for a smaller service."""
        world = World()
        world.run(4.0, 72)
        world.listed[CENTRES[0], REGULAR] = 0
        world.run(8.0, 72)
        self.assertFalse([o for _, o in world.sent if o.count < 8])

    @params(OrderEnd.UNKNOWN, OrderEnd.BUSY)
    def test_an_order_without_a_result_is_repeated(
        self, end: OrderEnd
    ) -> None:
        """Guards against a lost order that nobody repeats."""
        world = World(2)
        world.end, world.executes_orders = end, False
        world.run(BOOT, 36)
        world.run(5.0, 36)
        repeated = [o for _, o in world.sent if o.data_centre == CENTRES[0]]
        self.assertGreater(len(repeated), 2)
        self.assertLessEqual(len(repeated), 6)

    def test_a_data_centre_without_capacity_is_skipped(self) -> None:
        """Guards against waiting for targets that are unavailable."""
        world = World(2)
        world.end, world.executes_orders = OrderEnd.UNAVAILABLE, False
        world.run(BOOT, 36)
        world.run(1.0, 36)
        refused = {o.data_centre for _, o in world.sent}
        world.end, world.executes_orders = OrderEnd.ACCEPTED, True
        world.sent.clear()
        world.run(3.0, 36)
        self.assertFalse(refused & {o.data_centre for _, o in world.sent})
        world.run(12.0, 36)
        self.assertGreaterEqual(world.total, 12)

    def test_targets_that_never_start_are_ordered_again(self) -> None:
        """Guards against an accepted order that the platform lost."""
        world = World(2)
        world.executes_orders = False
        world.run(BOOT, 36)
        world.run(2.0, 36)
        ordered = len(world.sent)
        world.run(9.0, 36)
        self.assertGreater(len(world.sent), ordered)

    def test_a_successor_waits_until_starting_targets_are_listed(self) -> None:
        """Guards against an order below that of the earlier holder."""
        world = World(2)
        world.run(BOOT - STEP, 30)
        self.assertEqual([], world.sent)
        world.listed = {(centre, REGULAR): 8 for centre in CENTRES}
        world.run(2.0, 30)
        self.assertEqual([], world.sent)

    def test_lost_targets_are_replaced_in_other_data_centres(self) -> None:
        """Guards against counting the targets of a lost data centre."""
        world = World()
        world.run(BOOT, 72)
        world.listed[CENTRES[0], REGULAR] = 0
        world.unavailable.add(CENTRES[0])
        world.run(10.0, 72)
        self.assertEqual(0, world.listed[CENTRES[0], REGULAR])
        self.assertGreaterEqual(world.total, 24)

    def test_targets_of_an_order_without_a_result_are_released(self) -> None:
        """Guards against targets that are paid for but never released."""
        world = World(2)
        world.run(BOOT, 90)
        world.end = OrderEnd.UNKNOWN
        world.run(STEP, 90)
        self.assertGreaterEqual(world.total, 30)
        world.end = OrderEnd.ACCEPTED
        world.measure = measure_module.WorkMeasure(WINDOW, IDLE)
        world.run(120.0, 15)
        self.assertLessEqual(world.total, 6)

    def test_orders_respect_lowered_bounds(self) -> None:
        """Guards against orders above a lowered maximum."""
        world = World()
        world.run(BOOT, 72)
        world.bounds = msgspec.structs.replace(world.bounds, most=3)
        world.listed = {(centre, REGULAR): 2 for centre in CENTRES}
        world.run(20.0, 72)
        self.assertEqual({3}, {order.count for _, order in world.sent})

    def test_a_raised_minimum(self) -> None:
        """Guards against data centres that stay below a new minimum."""
        world = World(2)
        world.run(BOOT, 18)
        world.bounds = msgspec.structs.replace(world.bounds, least=4)
        world.run(2.0, 18)
        self.assertEqual({4}, set(world.listed.values()))

    def test_both_kinds_respect_the_common_maximum(self) -> None:
        """Guards against regular targets above the maximum of both kinds."""
        world = World()
        world.bounds = msgspec.structs.replace(
            world.bounds, revocable_part=0.2
        )
        for centre in CENTRES:
            world.listed[centre, TargetKind.REVOCABLE] = 8
        world.run(60.0, 900)
        world.run(60.0, 180)
        world.run(60.0, 900)
        self.assertLessEqual(world.total, 48)

    def test_revocable_targets_that_are_disabled(self) -> None:
        """Guards against oscillation beside targets that are not managed."""
        world = World(4)
        world.listed[CENTRES[0], TargetKind.REVOCABLE] = 12
        world.run(60.0, 36)
        self.assertEqual([], world.sent)
