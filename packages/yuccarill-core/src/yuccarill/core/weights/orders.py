"""Weight orders to engines, and reports on their state."""

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
    """What an engine does with a weight version."""

    STAGE = 'stage'
    SWITCH = 'switch'


class OrderOutcome(enum.Enum):
    """Outcome of an order, as known to its sender."""

    DONE = 'done'
    # The engine reported a failure and still serves its old version.
    FAILED = 'failed'
    # The engine has seen a newer epoch.
    REFUSED = 'refused'
    # The order timed out; it may have taken effect.
    SILENT = 'silent'
    # The order was not sent and will not be.
    NOT_SENT = 'not-sent'


class Order(msgspec.Struct, frozen=True, array_like=True):
    """An order for one engine, sent to the engine's holder."""

    # Unique within one epoch of the model's holder.
    number: int
    target: TargetId
    kind: OrderKind
    version: WeightVersion


class Report(msgspec.Struct, frozen=True, array_like=True):
    """A report on one engine, sent to the model's holder."""

    target: TargetId
    # Epoch of the reporting holder; the sequence counts its reports.
    epoch: Epoch
    sequence: int
    is_reachable: bool
    # An order, also of a previous holder, may still take effect.
    is_busy: bool
    weight_version: WeightVersion
    staged_version: WeightVersion
    # The last order that ended.
    order_number: int = NO_ORDER
    outcome: OrderOutcome | None = None


class TargetState(msgspec.Struct, frozen=True, kw_only=True):
    """State of an engine at its last read."""

    model: ModelName
    weight_version: WeightVersion
    staged_version: WeightVersion
    epoch: Epoch
    in_flight: int
    queued: int
    seen_at: Instant
