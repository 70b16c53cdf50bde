"""Define how a model's holder gives orders to engines elsewhere."""

from __future__ import annotations

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import ModelName
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import Report
from yuccarill.wire.messages.message import Message


class WeightOrders(Message, frozen=True, tag='weight-orders'):
    """Give the holder of engines the orders that a model's holder chose."""

    model: ModelName
    # The sender's epoch for the model.
    epoch: Epoch
    orders: tuple[Order, ...]


class WeightOrdersTaken(Message, frozen=True, tag='weight-orders-taken'):
    """Confirm orders but for those on engines that are not held here."""

    refused: tuple[int, ...] = ()


class WeightQuery(Message, frozen=True, tag='weight-query'):
    """Ask for what is known of a model's engines held by the receiver."""

    model: ModelName
    epoch: Epoch


class WeightReports(Message, frozen=True, tag='weight-reports'):
    """Tell a model's holder what is known of its engines."""

    model: ModelName
    reports: tuple[Report, ...]


WeightMessage = WeightOrders | WeightOrdersTaken | WeightQuery | WeightReports
