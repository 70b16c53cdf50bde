"""Test how a broker lends capacity."""

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
# Each slot serves ten requests a second, and all are in use.
CAPACITY = 100.0
CLASS = DemandClass(priority=5)
# Seconds after which a new broker lends.
WARM_UP = 1.0


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
        sent_report = report(instance, self.number, offered)
        return self.broker.lend(sent_report, PLACES, INSTANCES, Instant(at))

    def lend_all(self, at: float) -> list[CapacityGrant]:
        return [self.lend(number, at) for number in range(INSTANCES)]

    def test_nothing_is_lent_during_the_warm_up(self) -> None:
        """Guard against a new broker that lends all to the first instance."""
        for grant in self.lend_all(0.0):
            self.assertEqual(0.0, grant.valid_for)

    def test_the_whole_capacity_is_lent(self) -> None:
        self.lend_all(0.0)
        self.lend_all(WARM_UP)
        lent = sum(rate(grant) for grant in self.lend_all(WARM_UP + 0.25))
        self.assertGreater(lent, 0.9 * CAPACITY)

    def test_leases_never_exceed_the_capacity(self) -> None:
        """Guard against leases that overlap when demand moves."""
        generator = random.Random(1)
        self.lend_all(0.0)
        leases: dict[int, tuple[float, float]] = {}
        for step in range(400):
            at = WARM_UP + step * 0.03
            number = generator.randrange(INSTANCES)
            grant = self.lend(number, at, generator.uniform(0.0, 200.0))
            leases[number] = (rate(grant), at + grant.valid_for)
            lent = sum(lease for lease, until in leases.values() if at < until)
            most = max(self.broker.capacity, 2.0 * CAPACITY)
            self.assertLessEqual(lent, most + 1e-6)
            if grant.grants and rate(grant) > 0.0:
                held = sum(
                    lease
                    for other, (lease, until) in leases.items()
                    if at < until and other != number
                )
                self.assertLessEqual(
                    held + rate(grant), self.broker.capacity + 1e-6
                )

    def test_the_lease_of_a_silent_instance_expires(self) -> None:
        """Guard against capacity that stays lent to a lost instance."""
        self.lend_all(0.0)
        self.lend_all(WARM_UP)
        before = rate(self.lend(0, WARM_UP + 0.25))
        for step in range(8):
            for number in range(INSTANCES // 2):
                grant = self.lend(number, WARM_UP + 0.25 + step * 0.25)
        self.assertEqual(INSTANCES // 2, len(self.broker.leases_by_instance))
        self.assertGreater(rate(grant), before)

    def test_a_delayed_report_is_ignored(self) -> None:
        """Guard against a delayed report that replaces a newer one."""
        self.lend_all(0.0)
        self.lend_all(WARM_UP)
        late = report(0, 1, 0.0)
        self.broker.lend(late, PLACES, INSTANCES, Instant(WARM_UP + 0.01))
        kept = self.broker.leases_by_instance[InstanceId('i0')]
        self.assertEqual(50.0, kept.report.demands[0].offered)

    def test_no_limits_without_congestion(self) -> None:
        for at in (0.0, WARM_UP, WARM_UP + 0.25):
            for number in range(INSTANCES):
                grant = self.lend(number, at, offered=5.0)
        self.assertFalse(grant.is_congested)
        self.assertEqual((), grant.grants)
        self.assertGreater(grant.free_part, 0.3)
