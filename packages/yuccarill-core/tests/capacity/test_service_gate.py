"""Test the decisions of a service gate."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.capacity import demand
from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.gate import GateVerdict
from yuccarill.core.capacity import gate_policy
from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.capacity.messages import ClassGrant
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity.messages import PriorityLevel
from yuccarill.core.capacity import service_gate
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName

SERVICE = ServiceName('shop')
FLOOD = DemandClass(priority=5, account=AccountName('flood'))
SMALL = DemandClass(priority=5, account=AccountName('small'))
WORK_SECONDS = 0.02


def request(
    demand_class: DemandClass = FLOOD,
    at: float = 10.0,
    wanted_in: float = 0.15,
    deadline_in: float = 2.0,
) -> CapacityRequest:
    return CapacityRequest(
        id=RequestId('r'),
        demand_class=demand_class,
        arrived_at=Instant(at),
        wanted_by=Instant(at + wanted_in),
        deadline=Instant(at + deadline_in),
    )


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = service_gate.ServiceGate(
            SERVICE,
            InstanceId('i'),
            gate_policy.GatePolicy(),
            random.Random(1),
            Instant(0.0),
        )
        for step in range(20):
            self.gate.record_start(Instant(step * 0.1))
            self.gate.record_answer(WORK_SECONDS, Instant(step * 0.1))

    def congest(self, rate: float, at: float = 10.0) -> None:
        """Report congestion and grant a rate to the flooding account."""
        self.gate.record_start(Instant(at))
        self.gate.record_refusal(Instant(at))
        self.gate.apply_grant(
            CapacityGrant(
                service=SERVICE,
                number=1,
                grants=(ClassGrant(demand_class=FLOOD, rate=rate, part=0.0),),
                levels=(PriorityLevel(priority=5, level=20.0),),
                valid_for=1.0,
                retry_after=5.0,
            ),
            Instant(at),
        )

    def answer(self, offered: CapacityRequest) -> GateVerdict:
        return self.gate.offer(offered, offered.arrived_at).answer

    def test_no_limits_without_congestion(self) -> None:
        """Guard against limits and messages without congestion."""
        for step in range(500):
            at = 10.0 + step * 0.001
            self.assertIs(GateVerdict.SEND, self.answer(request(at=at)))
        offered = request()
        for _ in range(20):
            self.assertTrue(self.gate.take_retry(offered, Instant(10.5)))
            self.assertTrue(self.gate.take_hedge(offered, Instant(10.5)))
        self.assertIsNone(self.gate.report(Instant(10.5)))

    def test_a_stopping_target_is_no_congestion(self) -> None:
        """Guard against refusing callers because one target refuses."""
        offered = request()
        self.answer(offered)
        self.gate.record_start(Instant(10.0))
        self.gate.record_refusal(Instant(10.0))
        self.assertTrue(self.gate.take_retry(offered, Instant(10.0)))
        for step in range(20):
            at = 10.0 + step * 0.1
            self.assertIs(GateVerdict.SEND, self.answer(request(at=at)))

    def test_one_slow_answer_is_no_congestion(self) -> None:
        """Guard against reports for work that varies in length."""
        self.gate.record_start(Instant(10.0))
        self.gate.record_answer(10.0 * WORK_SECONDS, Instant(10.0))
        self.assertIsNone(self.gate.report(Instant(10.0)))

    def test_many_slow_answers_are_reported(self) -> None:
        for step in range(20):
            at = Instant(10.0 + step * 0.01)
            self.gate.record_start(at)
            self.gate.record_answer(10.0 * WORK_SECONDS, at)
        self.assertIsNotNone(self.gate.report(Instant(10.2)))

    @params(
        # There is time to wait for the next token.
        (20.0, 0.15, GateVerdict.WAIT),
        # The answer would be late.
        (20.0, 0.03, GateVerdict.REFUSE),
        (0.0, 0.15, GateVerdict.REFUSE),
    )
    def test_class_above_its_share(
        self, rate: float, wanted_in: float, expected: GateVerdict
    ) -> None:
        self.congest(rate)
        offered = request(wanted_in=wanted_in)
        while (found := self.answer(offered)) is GateVerdict.SEND:
            pass
        self.assertIs(expected, found)

    def test_a_flood_does_not_limit_other_accounts(self) -> None:
        """Guard against refusals of accounts within their share."""
        self.congest(0.0)
        self.answer(request())
        self.assertIs(GateVerdict.SEND, self.answer(request(SMALL)))

    def test_waiting_requests_are_sent_in_time(self) -> None:
        self.congest(20.0)
        offered = request()
        while self.answer(offered) is not GateVerdict.WAIT:
            pass
        wakes_at = self.gate.next_wakeup(Instant(10.0))
        self.assertLessEqual(wakes_at, offered.wanted_by)
        ((found, decision),) = self.gate.admit(Instant(wakes_at + 1e-6))
        self.assertIs(offered, found)
        self.assertIs(GateVerdict.SEND, decision.answer)

    def test_an_expired_grant_limits_no_request(self) -> None:
        """Guard against requests blocked by a lost broker's grant."""
        self.congest(20.0)
        offered = request()
        while self.answer(offered) is not GateVerdict.WAIT:
            pass
        ((_, decision),) = self.gate.admit(Instant(11.0))
        self.assertIs(GateVerdict.SEND, decision.answer)
        self.assertIs(GateVerdict.SEND, self.answer(request(at=11.1)))

    def test_an_unlimited_grant_releases_waiting_requests(self) -> None:
        """Guard against requests that wait in a removed lane."""
        self.congest(20.0)
        offered = request()
        while self.answer(offered) is not GateVerdict.WAIT:
            pass
        self.gate.apply_grant(
            CapacityGrant(
                service=SERVICE,
                number=2,
                grants=(),
                valid_for=1.0,
                is_congested=False,
            ),
            Instant(10.01),
        )
        self.assertEqual(10.01, self.gate.next_wakeup(Instant(10.01)))
        ((found, decision),) = self.gate.admit(Instant(10.01))
        self.assertIs(offered, found)
        self.assertIs(GateVerdict.SEND, decision.answer)

    def test_waiting_requests_are_refused_once_too_late(self) -> None:
        """Guard against requests that wait longer than is useful."""
        self.congest(20.0)
        offered = request()
        while self.answer(offered) is not GateVerdict.WAIT:
            pass
        self.gate.apply_grant(
            CapacityGrant(
                service=SERVICE,
                number=2,
                grants=(ClassGrant(demand_class=FLOOD, rate=0.0, part=0.0),),
                valid_for=1.0,
            ),
            Instant(10.001),
        )
        wakes_at = self.gate.next_wakeup(Instant(10.001))
        self.assertLessEqual(wakes_at, offered.wanted_by)
        ((found, decision),) = self.gate.admit(Instant(wakes_at + 1e-6))
        self.assertIs(GateVerdict.REFUSE, decision.answer)

    @params(0.3, 1.0, 2.0)
    def test_refused_callers_retry_in_time(self, left: float) -> None:
        """Guard against callers that retry at the same time, or too late."""
        self.congest(0.0)
        found = [
            self.gate.retry_after(request(deadline_in=left), Instant(10.0))
            for _ in range(100)
        ]
        self.assertLessEqual(max(found), left / 3.0)
        self.assertGreater(max(found) - min(found), 0.5 * left / 3.0)

    def test_requests_that_would_end_too_late_are_refused(self) -> None:
        """Guard against requests that wait until their deadline."""
        self.congest(20.0)
        late = request(SMALL, deadline_in=WORK_SECONDS / 2)
        self.assertIs(GateVerdict.REFUSE, self.answer(late))

    def test_second_attempts_while_targets_are_full(self) -> None:
        """Guard against retries that multiply the load of full targets."""
        sends = 0
        for step in range(200):
            at = 10.0 + step * 0.01
            offered = request(at=at)
            if self.answer(offered) is not GateVerdict.SEND:
                continue
            for attempt in range(5):
                now = Instant(at)
                if attempt and not self.gate.take_retry(offered, now):
                    break
                sends += 1
                self.gate.record_start(now)
                self.gate.record_refusal(now)
        self.assertLessEqual(sends, 200 * 1.1)


class DemandTest(unittest.TestCase):
    def test_memory_is_bounded_with_many_accounts(self) -> None:
        """Guard against state that grows with the number of accounts."""
        policy = demand.DemandPolicy()
        meter = demand.DemandMeter(policy)
        for number in range(100_000):
            key = DemandClass(priority=5, account=AccountName(f'a{number}'))
            meter.record(key, Instant(number * 0.0001))
            meter.record(FLOOD, Instant(number * 0.0001))
        demands = meter.demands(Instant(10.0))
        self.assertLessEqual(len(demands), policy.accounts + 1)
        offered = {d.demand_class: d.offered for d in demands}
        self.assertGreater(offered[FLOOD], 5000.0)
