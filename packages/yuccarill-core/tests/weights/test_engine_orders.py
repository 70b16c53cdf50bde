"""Test which orders the holder of an engine sends."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.weights import engine_orders
from yuccarill.core.weights import orders

TARGET = TargetId('e')
NOW = Instant(100.0)
STAGE, SWITCH = orders.OrderKind.STAGE, orders.OrderKind.SWITCH
DONE, NOT_SENT = orders.OrderOutcome.DONE, orders.OrderOutcome.NOT_SENT


def order(kind: orders.OrderKind, version: int) -> orders.Order:
    return orders.Order(1, TARGET, kind, WeightVersion(version))


def state(weight: int, staged: int = 0) -> orders.TargetState:
    return orders.TargetState(
        model=ModelName('m'),
        weight_version=WeightVersion(weight),
        staged_version=WeightVersion(staged),
        epoch=Epoch(1),
        in_flight=0,
        queued=0,
        seen_at=NOW,
    )


class EngineOrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine_orders = engine_orders.EngineOrders()
        self.engine_orders.set_epoch(TARGET, Epoch(1), NOW)

    # A delayed order must not return the engine to an older version, nor make
    # it download while out of service.
    @params(
        (STAGE, 3, state(2), 1, None),
        (STAGE, 3, state(2, 3), 1, DONE),
        (STAGE, 3, state(4), 1, DONE),
        (SWITCH, 3, state(2, 3), 1, None),
        (SWITCH, 3, state(3), 1, DONE),
        (SWITCH, 3, state(4), 1, DONE),
        (SWITCH, 3, state(2), 1, NOT_SENT),
        (SWITCH, 3, state(2, 4), 1, NOT_SENT),
        (SWITCH, 3, None, 1, NOT_SENT),
        (SWITCH, 3, state(2, 3), None, NOT_SENT),
        (SWITCH, 3, state(2, 3), 2, NOT_SENT),
    )
    def test_begin(self, kind, version, read, epoch, expected) -> None:
        self.engine_orders.record_state(TARGET, read)
        found = self.engine_orders.begin(order(kind, version), epoch, NOW)
        self.assertIs(expected, found)

    def test_second_order_waits_for_the_first(self) -> None:
        self.engine_orders.record_state(TARGET, state(2, 3))
        self.assertIsNone(
            self.engine_orders.begin(order(SWITCH, 3), Epoch(1), NOW)
        )
        again = orders.Order(2, TARGET, STAGE, WeightVersion(4))
        self.assertIs(NOT_SENT, self.engine_orders.begin(again, Epoch(1), NOW))

    def test_change_is_reported_once_unless_lost(self) -> None:
        self.assertEqual([], self.engine_orders.changed_reports(NOW))
        self.engine_orders.record_state(TARGET, state(2))
        self.assertEqual(1, len(self.engine_orders.changed_reports(NOW)))
        self.engine_orders.record_state(TARGET, state(2))
        self.assertEqual([], self.engine_orders.changed_reports(NOW))
        self.engine_orders.repeat_report(TARGET)
        self.assertEqual(1, len(self.engine_orders.changed_reports(NOW)))
