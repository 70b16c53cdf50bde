"""Weight orders to, and reports from, the lease holders of engines."""

from __future__ import annotations

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import ModelName
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import Report
from yuccarill.wire.messages.message import Message


class WeightOrders(Message, frozen=True, tag='weight-orders'):
    """Send orders from a model's lease holder to engine lease holders."""

    model: ModelName
    # Fencing token of the sender's lease of the model.
    epoch: Epoch
    orders: tuple[Order, ...]


class WeightOrdersTaken(Message, frozen=True, tag='weight-orders-taken'):
    """Confirm orders and refuse, by number, orders for engines not held."""

    refused: tuple[int, ...] = ()


class WeightQuery(Message, frozen=True, tag='weight-query'):
    """Ask for reports on engines of a model whose leases the peer holds."""

    model: ModelName
    epoch: Epoch


class WeightReports(Message, frozen=True, tag='weight-reports'):
    """Send reports on the engines of a model to the model's lease holder."""

    model: ModelName
    reports: tuple[Report, ...]


WeightMessage = WeightOrders | WeightOrdersTaken | WeightQuery | WeightReports
