"""Weight orders to, and reports from, the lease holders of engines."""

from __future__ import annotations

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import ModelName
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import Report
from yuccarill.wire.messages.message import Message


class WeightOrders(Message, frozen=True, tag='weight-orders'):
    """Send the orders of a model's lease holder to that of the engines."""

    model: ModelName
    # Fencing token of the sender's lease of the model.
    epoch: Epoch
    orders: tuple[Order, ...]


class WeightOrdersTaken(Message, frozen=True, tag='weight-orders-taken'):
    """Confirm orders, except for engines that the receiver does not hold."""

    refused: tuple[int, ...] = ()


class WeightQuery(Message, frozen=True, tag='weight-query'):
    """Ask for reports on the engines of a model that the receiver holds."""

    model: ModelName
    epoch: Epoch


class WeightReports(Message, frozen=True, tag='weight-reports'):
    """Send reports on the engines of a model to the model's lease holder."""

    model: ModelName
    reports: tuple[Report, ...]


WeightMessage = WeightOrders | WeightOrdersTaken | WeightQuery | WeightReports
