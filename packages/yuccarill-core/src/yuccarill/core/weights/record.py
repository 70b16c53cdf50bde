"""A model holder's record of one engine."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import OrderKind
from yuccarill.core.weights.orders import OrderOutcome
from yuccarill.core.weights.orders import Report

if TYPE_CHECKING:
    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import TargetId
    from yuccarill.core.weights.retries import RetryPolicy


class WeightState(enum.Enum):
    """State of an engine in a rollout."""

    UNKNOWN = 'unknown'
    LOST = 'lost'
    SERVING = 'serving'
    STAGING = 'staging'
    STAGED = 'staged'
    SWITCHING = 'switching'
    FAILED = 'failed'


_SERVING_STATES = frozenset(
    {
        WeightState.SERVING,
        WeightState.STAGING,
        WeightState.STAGED,
        WeightState.FAILED,
    }
)
_UNREACHABLE_STATES = frozenset({WeightState.UNKNOWN, WeightState.LOST})
# Outcomes that do not count as failures of the engine.
_NON_FAILURES = frozenset({OrderOutcome.REFUSED, OrderOutcome.NOT_SENT})


@dataclasses.dataclass
class TargetRecord:
    """Track one engine by its reports and orders."""

    target: TargetId
    data_centre: DataCentreId
    state: WeightState = WeightState.UNKNOWN
    weight_version: WeightVersion = NO_VERSION
    staged_version: WeightVersion = NO_VERSION
    is_busy: bool = False
    order: Order | None = None
    # Epoch of the engine's holder when the order was given.
    order_epoch: Epoch = Epoch(0)
    order_expires_at: Instant = Instant(0.0)
    failures: int = 0
    retry_at: Instant = Instant(0.0)
    last_report: tuple[Epoch, int] = (Epoch(0), 0)
    # Every method that changes a field adds the target's id, so that the
    # index never counts a switching engine as serving.
    changed_targets: set[TargetId] = dataclasses.field(
        default_factory=set, repr=False, compare=False
    )

    @property
    def is_serving(self) -> bool:
        return self.state in _SERVING_STATES and not self.is_busy

    @property
    def is_switching(self) -> bool:
        # A busy engine may still execute a previous holder's order; leaving
        # it out would take one engine too many out of service.
        return self.state is WeightState.SWITCHING or self.is_busy

    @property
    def may_expire(self) -> bool:
        return self.order is not None or self.state is WeightState.FAILED

    def may_progress(self, newest: WeightVersion) -> bool:
        """Return whether an order is running or may be given."""
        if self.state in _UNREACHABLE_STATES:
            return self.order is not None
        return (
            self.order is not None
            or self.is_busy
            or self.weight_version < newest
            or self.state is not WeightState.SERVING
        )

    @property
    def best_version(self) -> WeightVersion:
        return max(self.weight_version, self.staged_version)

    def begin(self, order: Order, until: Instant) -> None:
        """Record an order that is about to be sent."""
        self.changed_targets.add(self.target)
        self.order = order
        self.order_epoch = self.last_report[0]
        self.order_expires_at = until
        self.state = (
            WeightState.STAGING
            if order.kind is OrderKind.STAGE
            else WeightState.SWITCHING
        )

    def apply_report(
        self, report: Report, now: Instant, retries: RetryPolicy
    ) -> bool:
        """Apply a report if it is newer than the last; return if it was."""
        # After a reconnect an older report must not restore a former version.
        if (report.epoch, report.sequence) <= self.last_report:
            return False
        self.last_report = (report.epoch, report.sequence)
        self.changed_targets.add(self.target)
        self.weight_version = report.weight_version
        self.staged_version = report.staged_version
        self.is_busy = report.is_busy
        if self.order is not None and not self._is_pending(report):
            outcome = OrderOutcome.NOT_SENT
            if report.order_number == self.order.number:
                outcome = report.outcome or outcome
            self._end_order(outcome, now, retries)
        if self.order is None:
            self._update_state(report.is_reachable, now)
        return True

    def expire(self, now: Instant, retries: RetryPolicy) -> None:
        """Time out an overdue order, or end a backoff that is over."""
        if self.order is not None:
            if now >= self.order_expires_at:
                self.changed_targets.add(self.target)
                self._end_order(OrderOutcome.SILENT, now, retries)
                self._update_state(True, now)
        elif self.state is WeightState.FAILED:
            self.changed_targets.add(self.target)
            self._update_state(True, now)

    def drop_order(self, now: Instant, retries: RetryPolicy) -> None:
        """Drop an order that cannot have been sent."""
        self.changed_targets.add(self.target)
        if self.order is not None:
            self._end_order(OrderOutcome.NOT_SENT, now, retries)
            self._update_state(True, now)

    def mark_unknown(self) -> None:
        """Mark an idle engine's state as unknown after a holder change."""
        self.changed_targets.add(self.target)
        if self.order is None:
            self.state = WeightState.UNKNOWN

    def reset_retries(self) -> None:
        """Reset the failures and the backoff, so that the next try is due."""
        self.changed_targets.add(self.target)
        self.failures = 0
        self.retry_at = Instant(0.0)

    def _is_pending(self, report: Report) -> bool:
        assert self.order is not None
        if report.order_number == self.order.number:
            return report.outcome is None
        # The holder that was to send the order has lost its lease; its
        # successor reports the engine as busy if the order may be running.
        if report.epoch > self.order_epoch:
            return False
        return not self._has_effect(self.order)

    def _has_effect(self, order: Order) -> bool:
        if order.kind is OrderKind.STAGE:
            return self.best_version >= order.version
        return self.weight_version >= order.version

    def _end_order(
        self, outcome: OrderOutcome, now: Instant, retries: RetryPolicy
    ) -> None:
        assert self.order is not None
        # The engine's reported version decides: the reply may be lost after
        # the effect, or report success without one.
        if self._has_effect(self.order):
            self.reset_retries()
        elif outcome in _NON_FAILURES:
            self.retry_at = Instant(now + retries.base_seconds)
        else:
            self.failures += 1
            self.retry_at = retries.retry_at(self.failures, now)
        self.order = None

    def _update_state(self, is_reachable: bool, now: Instant) -> None:
        if not is_reachable:
            self.state = WeightState.LOST
        elif now < self.retry_at:
            self.state = WeightState.FAILED
        elif self.staged_version > self.weight_version:
            self.state = WeightState.STAGED
        else:
            self.state = WeightState.SERVING
