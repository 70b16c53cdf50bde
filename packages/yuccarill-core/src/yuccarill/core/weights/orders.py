"""Orders to engines about their weights, and what is reported back."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion

NO_VERSION = WeightVersion(0)
NO_ORDER = 0


class OrderKind(enum.Enum):
    """Say what an engine is to do with a weight version."""

    STAGE = 'stage'
    SWITCH = 'switch'


class OrderOutcome(enum.Enum):
    """Say how an order ended, as far as its sender knows."""

    DONE = 'done'
    # The engine reports that it could not; its old version serves.
    FAILED = 'failed'
    # The engine has seen a newer epoch.
    REFUSED = 'refused'
    # No reply in time; the order may have taken effect.
    SILENT = 'silent'
    # The order was not sent and will not be.
    NOT_SENT = 'not-sent'


class Order(msgspec.Struct, frozen=True, array_like=True):
    """Tell one engine's holder what to order."""

    # Unique under one epoch of the model's holder.
    number: int
    target: TargetId
    kind: OrderKind
    version: WeightVersion


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Tell the model's holder what is known of one engine."""

    target: TargetId
    # The epoch of the reporting holder and a count that grows under it.
    epoch: Epoch
    sequence: int
    is_reachable: bool
    # An order, maybe of an earlier holder, may still take effect.
    is_busy: bool
    weight_version: WeightVersion
    staged_version: WeightVersion
    # The last order that ended.
    order_number: int = NO_ORDER
    outcome: OrderOutcome | None = None


class TargetState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an engine said of itself when it was last read."""

    model: ModelName
    weight_version: WeightVersion
    staged_version: WeightVersion
    epoch: Epoch
    in_flight: int
    queued: int
    seen_at: Instant
