"""Test what a broker lends, and for how long."""

from __future__ import annotations

import random
import unittest

from yuccarill.core.capacity import broker
from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.capacity.messages import ClassDemand
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity.messages import DemandReport
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName

SERVICE = ServiceName('shop')
PLACES = 10
INSTANCES = 8
# Each place serves ten requests a second, and all are in use.
CAPACITY = 100.0
CLASS = DemandClass(priority=5)
# Seconds after which a broker lends.
WARM = 1.0


def report(instance: int, number: int, offered: float) -> DemandReport:
    return DemandReport(
        service=SERVICE,
        instance=InstanceId(f'i{instance}'),
        number=number,
        demands=(ClassDemand(demand_class=CLASS, offered=offered),),
        in_flight=PLACES / INSTANCES,
        wanted_seconds=0.1,
        finished=CAPACITY / INSTANCES,
    )


def rate(grant: CapacityGrant) -> float:
    return sum(each.rate for each in grant.grants)


class BrokerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.broker = broker.CapacityBroker(SERVICE, broker.BrokerPolicy())
        self.number = 0

    def lend(
        self, instance: int, at: float, offered: float = 50.0
    ) -> CapacityGrant:
        self.number += 1
        told = report(instance, self.number, offered)
        return self.broker.lend(told, PLACES, INSTANCES, Instant(at))

    def lend_all(self, at: float) -> list[CapacityGrant]:
        return [self.lend(number, at) for number in range(INSTANCES)]

    def test_nothing_is_lent_before_all_were_heard(self) -> None:
        """Guard against a new broker that lends all to the first asker."""
        for grant in self.lend_all(0.0):
            self.assertEqual(0.0, grant.valid_for)

    def test_all_is_lent(self) -> None:
        self.lend_all(0.0)
        self.lend_all(WARM)
        lent = sum(rate(grant) for grant in self.lend_all(WARM + 0.25))
        self.assertGreater(lent, 0.9 * CAPACITY)

    def test_never_more_is_out_than_there_is(self) -> None:
        """Guard against leases that overlap when demand moves."""
        generator = random.Random(1)
        self.lend_all(0.0)
        out: dict[int, tuple[float, float]] = {}
        for step in range(400):
            at = WARM + step * 0.03
            number = generator.randrange(INSTANCES)
            grant = self.lend(number, at, generator.uniform(0.0, 200.0))
            out[number] = (rate(grant), at + grant.valid_for)
            lent = sum(lease for lease, until in out.values() if at < until)
            most = max(self.broker.capacity, 2.0 * CAPACITY)
            self.assertLessEqual(lent, most + 1e-6)
            if grant.grants and rate(grant) > 0.0:
                held = sum(
                    lease
                    for other, (lease, until) in out.items()
                    if at < until and other != number
                )
                self.assertLessEqual(
                    held + rate(grant), self.broker.capacity + 1e-6
                )

    def test_a_silent_instance_loses_its_part(self) -> None:
        """Guard against capacity that lies with an instance that is lost."""
        self.lend_all(0.0)
        self.lend_all(WARM)
        before = rate(self.lend(0, WARM + 0.25))
        for step in range(8):
            for number in range(INSTANCES // 2):
                grant = self.lend(number, WARM + 0.25 + step * 0.25)
        self.assertEqual(INSTANCES // 2, len(self.broker.leases_by_instance))
        self.assertGreater(rate(grant), before)

    def test_a_late_report_changes_nothing(self) -> None:
        """Guard against a report that was overtaken."""
        self.lend_all(0.0)
        self.lend_all(WARM)
        late = report(0, 1, 0.0)
        self.broker.lend(late, PLACES, INSTANCES, Instant(WARM + 0.01))
        kept = self.broker.leases_by_instance[InstanceId('i0')]
        self.assertEqual(50.0, kept.report.demands[0].offered)

    def test_room_for_all_bounds_nobody(self) -> None:
        for at in (0.0, WARM, WARM + 0.25):
            for number in range(INSTANCES):
                grant = self.lend(number, at, offered=5.0)
        self.assertFalse(grant.is_congested)
        self.assertEqual((), grant.grants)
        self.assertGreater(grant.free_part, 0.3)
