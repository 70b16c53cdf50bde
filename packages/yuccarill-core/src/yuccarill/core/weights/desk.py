"""Decide which orders the holder of an engine's duty may send."""

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

# Swaps take seconds; past this the engine is read instead of awaited.
ORDER_SECONDS = 8.0
FIRST_EPOCH = Epoch(1)


@dataclasses.dataclass
class _Place:
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

    def facts(self, now: Instant) -> tuple[object, ...]:
        """Return what the model's holder must know."""
        return (
            self.is_reachable,
            # A running order is no news to the one who gave it.
            now < self.busy_until,
            _versions(self.state),
            self.last_number,
        )

    def is_busy(self, now: Instant) -> bool:
        """Tell whether an order may take effect."""
        return self.running is not None or now < self.busy_until


class OrderDesk:
    """Keep what the holder knows of its engines under its epochs."""

    def __init__(self) -> None:
        self._places_by_id: dict[TargetId, _Place] = {}
        self._epochs_by_model: dict[ModelName, Epoch] = {}
        # Targets that may have news.
        self._touched: set[TargetId] = set()

    def accept_model_epoch(self, model: ModelName, epoch: Epoch) -> bool:
        """Tell whether a model's holder is the newest that was heard."""
        # A holder that was paused past its lease wakes with a batch of
        # orders. Its successor counts capacity without them, and both
        # together would take the model under its floor.
        if epoch < self._epochs_by_model.get(model, epoch):
            return False
        self._epochs_by_model[model] = epoch
        return True

    def hold(self, target: TargetId, epoch: Epoch, now: Instant) -> bool:
        """Note the epoch under which a target is held; tell if it is new."""
        place = self._places_by_id.get(target)
        if place is not None and place.epoch == epoch:
            return False
        # The last order of the holder before may still take effect on the
        # engine; until it can not, the engine counts as out of service.
        busy_until = now
        if epoch > FIRST_EPOCH:
            busy_until = Instant(now + ORDER_SECONDS)
        self._places_by_id[target] = _Place(epoch, busy_until)
        self._touched.add(target)
        return True

    def release(self, target: TargetId) -> None:
        """Forget a target that is no longer held."""
        self._places_by_id.pop(target, None)

    def targets(self) -> Set[TargetId]:
        """Return the targets that are held."""
        return self._places_by_id.keys()

    def is_read(self, target: TargetId) -> bool:
        """Tell whether a target has answered under the current epoch."""
        place = self._places_by_id.get(target)
        return place is not None and place.state is not None

    def see(self, target: TargetId, state: TargetState | None) -> None:
        """Take what was read of a target, None for no answer."""
        place = self._places_by_id.get(target)
        if place is None:
            return
        self._touched.add(target)
        place.is_read = True
        place.is_reachable = state is not None
        place.state = state or place.state

    def begin(
        self, order: Order, epoch: Epoch | None, now: Instant
    ) -> OrderOutcome | None:
        """Note an order as running; return its outcome if it must not be."""
        place = self._places_by_id.get(order.target)
        if place is None or place.running == order:
            return OrderOutcome.NOT_SENT
        if epoch != place.epoch or place.is_busy(now):
            outcome: OrderOutcome | None = OrderOutcome.NOT_SENT
        else:
            outcome = _refusal(order, place.state)
        if outcome is not None:
            self._end(place, order, outcome)
            return outcome
        place.running = order
        return None

    def finish(self, order: Order, outcome: OrderOutcome) -> None:
        """Note how a running order ended."""
        place = self._places_by_id.get(order.target)
        if place is not None and place.running == order:
            place.running = None
            self._end(place, order, outcome)

    def report(self, target: TargetId, now: Instant) -> Report | None:
        """Return what is known of a target, None before it was read."""
        place = self._places_by_id.get(target)
        if place is None or not place.is_read:
            return None
        place.sequence += 1
        place.reported = place.facts(now)
        weight, staged = _versions(place.state)
        return Report(
            target=target,
            epoch=place.epoch,
            sequence=place.sequence,
            is_reachable=place.is_reachable,
            is_busy=place.is_busy(now),
            weight_version=weight,
            staged_version=staged,
            order_number=place.last_number,
            outcome=place.last_outcome,
        )

    def news(self, now: Instant) -> list[Report]:
        """Return reports on the targets of which something changed."""
        reports = []
        for target in list(self._touched):
            place = self._places_by_id.get(target)
            if place is None or now >= place.busy_until:
                self._touched.discard(target)
            if place is None or not place.is_read:
                continue
            if place.reported != place.facts(now):
                reports.append(self.report(target, now))
        return [report for report in reports if report is not None]

    def unreport(self, target: TargetId) -> None:
        """Report a target again, since the last report was lost."""
        place = self._places_by_id.get(target)
        if place is not None:
            place.reported = None
            self._touched.add(target)

    def _end(self, place: _Place, order: Order, outcome: OrderOutcome) -> None:
        place.last_number = order.number
        place.last_outcome = outcome


def _refusal(order: Order, state: TargetState | None) -> OrderOutcome | None:
    if state is None:
        # Not read under this epoch: its version may be past the order's.
        return OrderOutcome.NOT_SENT
    weight, staged = _versions(state)
    # An order that waited here while a newer version came would take the
    # engine back; samples would come from weights that are out of date.
    if weight >= order.version:
        return OrderOutcome.DONE
    if order.kind is OrderKind.STAGE:
        return OrderOutcome.DONE if staged >= order.version else None
    # A restart loses what was staged; a switch would then download it
    # outside of the store's schedule, with the engine out of service.
    return None if staged == order.version else OrderOutcome.NOT_SENT


def _versions(
    state: TargetState | None,
) -> tuple[WeightVersion, WeightVersion]:
    if state is None:
        return NO_VERSION, NO_VERSION
    return state.weight_version, state.staged_version
