"""Decide which weight orders the holder of an engine may send."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.weights.orders import NO_ORDER
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.orders import OrderKind
from yuccarill.core.weights.orders import OrderOutcome
from yuccarill.core.weights.orders import Report

if TYPE_CHECKING:
    from collections.abc import Set

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.weights.orders import Order
    from yuccarill.core.weights.orders import TargetState

# Timeout of an order, after which the engine's state is read instead.
ORDER_SECONDS = 8.0
FIRST_EPOCH = Epoch(1)


@dataclasses.dataclass
class _Entry:
    epoch: Epoch
    busy_until: Instant
    state: TargetState | None = None
    is_read: bool = False
    is_reachable: bool = False
    running: Order | None = None
    last_number: int = NO_ORDER
    last_outcome: OrderOutcome | None = None
    sequence: int = 0
    reported: tuple[object, ...] | None = None

    def reportable_facts(self, now: Instant) -> tuple[object, ...]:
        """Return the facts whose change causes a report."""
        return (
            self.is_reachable,
            # Running orders are omitted: the model's holder gave them.
            now < self.busy_until,
            _versions(self.state),
            self.last_number,
        )

    def is_busy(self, now: Instant) -> bool:
        """Return whether an order may still take effect."""
        return self.running is not None or now < self.busy_until


class EngineOrders:
    """Track the engines that an instance holds, and their orders."""

    def __init__(self) -> None:
        self._entries_by_id: dict[TargetId, _Entry] = {}
        self._epochs_by_model: dict[ModelName, Epoch] = {}
        # Targets whose state may have changed since their last report.
        self._changed_targets: set[TargetId] = set()

    def accept_model_epoch(self, model: ModelName, epoch: Epoch) -> bool:
        """Return whether no newer epoch of the model's holder is known."""
        # Orders that a paused holder sends after its lease has expired would,
        # with its successor's orders, leave too few engines serving.
        if epoch < self._epochs_by_model.get(model, epoch):
            return False
        self._epochs_by_model[model] = epoch
        return True

    def set_epoch(self, target: TargetId, epoch: Epoch, now: Instant) -> bool:
        """Set the epoch under which a target is held; return if it is new."""
        entry = self._entries_by_id.get(target)
        if entry is not None and entry.epoch == epoch:
            return False
        # The engine counts as out of service while the last order of its
        # previous holder may still take effect.
        busy_until = now
        if epoch > FIRST_EPOCH:
            busy_until = Instant(now + ORDER_SECONDS)
        self._entries_by_id[target] = _Entry(epoch, busy_until)
        self._changed_targets.add(target)
        return True

    def release(self, target: TargetId) -> None:
        """Remove a target that is no longer held."""
        self._entries_by_id.pop(target, None)

    def targets(self) -> Set[TargetId]:
        """Return the held targets."""
        return self._entries_by_id.keys()

    def has_state(self, target: TargetId) -> bool:
        """Return whether a target has answered under the current epoch."""
        entry = self._entries_by_id.get(target)
        return entry is not None and entry.state is not None

    def record_state(
        self, target: TargetId, state: TargetState | None
    ) -> None:
        """Record the state read from a target, None if it did not answer."""
        entry = self._entries_by_id.get(target)
        if entry is None:
            return
        self._changed_targets.add(target)
        entry.is_read = True
        entry.is_reachable = state is not None
        entry.state = state or entry.state

    def begin(
        self, order: Order, epoch: Epoch | None, now: Instant
    ) -> OrderOutcome | None:
        """Record an order as running; return its outcome if it is not sent."""
        entry = self._entries_by_id.get(order.target)
        if entry is None or entry.running == order:
            return OrderOutcome.NOT_SENT
        if epoch != entry.epoch or entry.is_busy(now):
            outcome: OrderOutcome | None = OrderOutcome.NOT_SENT
        else:
            outcome = _precheck(order, entry.state)
        if outcome is not None:
            self._end(entry, order, outcome)
            return outcome
        entry.running = order
        return None

    def finish(self, order: Order, outcome: OrderOutcome) -> None:
        """Record the outcome of a running order."""
        entry = self._entries_by_id.get(order.target)
        if entry is not None and entry.running == order:
            entry.running = None
            self._end(entry, order, outcome)

    def report(self, target: TargetId, now: Instant) -> Report | None:
        """Return a report on a target, None before its first read."""
        entry = self._entries_by_id.get(target)
        if entry is None or not entry.is_read:
            return None
        entry.sequence += 1
        entry.reported = entry.reportable_facts(now)
        weight, staged = _versions(entry.state)
        return Report(
            target=target,
            epoch=entry.epoch,
            sequence=entry.sequence,
            is_reachable=entry.is_reachable,
            is_busy=entry.is_busy(now),
            weight_version=weight,
            staged_version=staged,
            order_number=entry.last_number,
            outcome=entry.last_outcome,
        )

    def changed_reports(self, now: Instant) -> list[Report]:
        """Return reports on the targets that changed since the last report."""
        reports = []
        for target in list(self._changed_targets):
            entry = self._entries_by_id.get(target)
            if entry is None or now >= entry.busy_until:
                self._changed_targets.discard(target)
            if entry is None or not entry.is_read:
                continue
            if entry.reported != entry.reportable_facts(now):
                reports.append(self.report(target, now))
        return [report for report in reports if report is not None]

    def repeat_report(self, target: TargetId) -> None:
        """Repeat the report on a target, after the last one was lost."""
        entry = self._entries_by_id.get(target)
        if entry is not None:
            entry.reported = None
            self._changed_targets.add(target)

    def _end(self, entry: _Entry, order: Order, outcome: OrderOutcome) -> None:
        entry.last_number = order.number
        entry.last_outcome = outcome


def _precheck(order: Order, state: TargetState | None) -> OrderOutcome | None:
    if state is None:
        # Not read under this epoch; the engine may have a newer version.
        return OrderOutcome.NOT_SENT
    weight, staged = _versions(state)
    # A delayed order must not return the engine to an older version.
    if weight >= order.version:
        return OrderOutcome.DONE
    if order.kind is OrderKind.STAGE:
        return OrderOutcome.DONE if staged >= order.version else None
    # A restarted engine has lost its staged version; a switch would download
    # it again, beyond the store's rate limit and with the engine not serving.
    return None if staged == order.version else OrderOutcome.NOT_SENT


def _versions(
    state: TargetState | None,
) -> tuple[WeightVersion, WeightVersion]:
    if state is None:
        return NO_VERSION, NO_VERSION
    return state.weight_version, state.staged_version
