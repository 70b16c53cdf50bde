"""Test how reports change a model holder's record of one engine."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.weights import capacity
from yuccarill.core.weights import orders
from yuccarill.core.weights import record
from yuccarill.core.weights import retries
from yuccarill.core.weights import rollout
from yuccarill.core.weights import token_bucket

NOW = Instant(100.0)
RETRIES = retries.RetryPolicy()
Outcome, State = orders.OrderOutcome, record.WeightState


def report(sequence: int, weight: int, staged: int = 0, **more):
    return orders.Report(
        target=TargetId('e'),
        epoch=Epoch(more.pop('epoch', 1)),
        sequence=sequence,
        is_reachable=more.pop('is_reachable', True),
        is_busy=False,
        weight_version=WeightVersion(weight),
        staged_version=WeightVersion(staged),
        **more,
    )


class RecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.record = record.TargetRecord(TargetId('e'), DataCentreId('a'))
        self.record.apply_report(report(5, 1, 2), NOW, RETRIES)

    def switch(self, number: int = 7) -> None:
        kind = orders.OrderKind.SWITCH
        order = orders.Order(number, TargetId('e'), kind, WeightVersion(2))
        self.record.begin(order, Instant(NOW + 25))

    @params(4, 5)
    def test_late_older_report_changes_nothing(self, sequence: int) -> None:
        self.record.apply_report(report(sequence, 0), NOW, RETRIES)
        self.assertEqual(1, self.record.weight_version)

    # The reply to an order may be lost or wrong: the engine's reported
    # version decides.
    @params(
        (report(6, 2, order_number=7, outcome=Outcome.DONE), State.SERVING),
        (report(6, 2, order_number=7, outcome=Outcome.SILENT), State.SERVING),
        (report(6, 2), State.SERVING),
        (report(6, 1, 2), State.SWITCHING),
        (report(6, 1, order_number=3, outcome=Outcome.DONE), State.SWITCHING),
        (report(6, 1, 2, order_number=7, outcome=Outcome.DONE), State.FAILED),
        (report(1, 1, 2, epoch=2), State.FAILED),
    )
    def test_end_of_an_order(self, reported, expected: State) -> None:
        self.switch()
        self.record.apply_report(reported, NOW, RETRIES)
        self.assertIs(expected, self.record.state)

    def test_order_without_reports_ends(self) -> None:
        self.switch()
        self.record.expire(Instant(NOW + 24), RETRIES)
        self.assertIs(State.SWITCHING, self.record.state)
        self.record.expire(Instant(NOW + 25), RETRIES)
        self.assertIs(State.FAILED, self.record.state)

    def test_numbers_of_two_epochs_differ(self) -> None:
        # A late report on a predecessor's order must not end a new order.
        numbers = []
        for epoch in (Epoch(1), Epoch(2)):
            plan = rollout.ModelRollout(
                {TargetId('e'): DataCentreId('a')},
                0.5,
                token_bucket.TokenBucket(10.0, NOW),
                epoch,
            )
            plan.observe(report(1, 1), NOW)
            plan.raise_newest(WeightVersion(2), NOW)
            numbers += [o.number for o in plan.decide(Instant(NOW + 1))]
        self.assertEqual(2, len(set(numbers)))

    @params((False, 1), (True, 0))
    def test_one_engine_switches_below_the_minimum(
        self, is_busy: bool, slack: int
    ) -> None:
        # With too few engines serving, one engine at a time still switches.
        # A busy engine counts as that one.
        self.record.state = State.STAGED
        lost = [
            record.TargetRecord(TargetId(f'l{n}'), DataCentreId('a'))
            for n in range(3)
        ]
        lost[0].is_busy = is_busy
        found = capacity.Slack([self.record, *lost], 0.9)
        self.assertEqual(slack, max(0, found.remaining(DataCentreId('a'))))


class TokenBucketTest(unittest.TestCase):
    def test_successor_adds_nothing_to_the_rate(self) -> None:
        schedule = token_bucket.TokenBucket(50.0, NOW)
        self.assertFalse(schedule.try_consume(NOW))
        self.assertTrue(schedule.try_consume(Instant(NOW + 0.03)))

    def test_shares_add_up(self) -> None:
        shares = [token_bucket.model_limit(50.0, n, 10) for n in (1, 2, 7)]
        self.assertAlmostEqual(50.0, sum(shares))
