"""Bring a model's newest weight version to all its engines."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.weights.capacity import Slack
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import OrderKind
from yuccarill.core.weights.record import TargetRecord
from yuccarill.core.weights.record import WeightState
from yuccarill.core.weights.retries import RetryPolicy
from yuccarill.core.weights.tokens import TokenSchedule

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.weights.orders import Report

# A holder that is paused with the order in its socket may send it up to
# its lease's end, and the engine may then take its time; only after both
# is the order sure to be over.
ORDER_VALID_SECONDS = 16.0
# Engines that can not stage hold the others back this long at most,
# beyond the time that the store's rate asks for.
STAGE_PATIENCE_SECONDS = 30.0
EPOCH_SHIFT = 32


class ModelRollout:
    """Decide which engines stage and switch next."""

    def __init__(
        self,
        engines: Mapping[TargetId, DataCentreId],
        serving_part: float,
        tokens: TokenSchedule,
        epoch: Epoch,
        retries: RetryPolicy | None = None,
    ) -> None:
        self.records_by_id: dict[TargetId, TargetRecord] = {}
        self.newest = NO_VERSION
        # Engines that have staged a version up to this one may switch.
        self.opened = NO_VERSION
        self._open_by = Instant(0.0)
        # Nothing can be ordered before the next report or version.
        self._is_quiet = False
        self._serving_part = serving_part
        self.tokens = tokens
        self._retries = retries or RetryPolicy()
        # A predecessor's order that ends late must not be taken for one of
        # ours: the engine would count as back in service too early.
        self._numbers = itertools.count((epoch << EPOCH_SHIFT) + 1)
        self.set_engines(engines, serving_part)

    def set_engines(
        self, engines: Mapping[TargetId, DataCentreId], serving_part: float
    ) -> None:
        """Take the engines and the part that the inventory names."""
        self._serving_part = serving_part
        self._is_quiet = False
        self.records_by_id = {
            target: self.records_by_id.get(target)
            or TargetRecord(target, data_centre)
            for target, data_centre in engines.items()
        }

    def see_newest(self, version: WeightVersion, now: Instant) -> None:
        """Take a version that the store or an engine names."""
        if version <= self.newest:
            return
        # Versions that come faster than they are staged would move the
        # deadline on for ever, and no engine would ever switch.
        if self.opened == self.newest:
            staging = len(self.records_by_id) / max(self.tokens.rate, 1e-9)
            self._open_by = Instant(now + staging + STAGE_PATIENCE_SECONDS)
        self.newest = version
        self._is_quiet = False
        for record in self.records_by_id.values():
            record.renew_budget()

    def observe(self, report: Report, now: Instant) -> None:
        """Take a report on one engine."""
        record = self.records_by_id.get(report.target)
        if record is None:
            return
        if not record.take(report, now, self._retries):
            return
        self._is_quiet = False
        # The store's answer may be older than what a predecessor ordered;
        # following it would order a lower version.
        self.see_newest(record.best_version, now)

    def decide(self, now: Instant) -> list[Order]:
        """Return the orders to give now."""
        # All engines are looked at in each turn of a switch only: idle,
        # that alone took several hundredths of a core for 1,300 of them.
        if self._is_quiet:
            return []
        self._is_quiet = True
        staged = []
        behind = []
        for record in self.records_by_id.values():
            if record.may_expire:
                record.expire(now, self._retries)
            if record.may_progress(self.newest):
                self._is_quiet = False
            if record.state is WeightState.STAGED:
                staged.append(record)
            if record.best_version < self.newest:
                behind.append(record)
        self._open(behind, now)
        if self._is_quiet:
            return []
        orders = [
            self._begin(record, OrderKind.STAGE, self.newest, now)
            for record in behind
            if self._wants_stage(record) and self.tokens.take(now)
        ]
        if staged:
            orders += self._switches(staged, now)
        return orders

    def drop(self, orders: Iterable[Order], now: Instant) -> None:
        """Take back orders of which no byte was sent."""
        for order in orders:
            record = self.records_by_id.get(order.target)
            if record is not None and record.order == order:
                self._is_quiet = False
                record.drop_order(now, self._retries)

    @property
    def is_active(self) -> bool:
        """Tell whether orders run or may soon be given."""
        return not self._is_quiet

    @property
    def is_switching(self) -> bool:
        """Tell whether a report may let further engines switch."""
        return self.opened == self.newest and not self._is_quiet

    def _open(self, behind: list[TargetRecord], now: Instant) -> None:
        if self.opened == self.newest:
            return
        is_waiting = any(
            record.state is not WeightState.LOST for record in behind
        )
        if not is_waiting or now >= self._open_by:
            self.opened = self.newest

    def _wants_stage(self, record: TargetRecord) -> bool:
        if record.is_busy or record.order is not None:
            return False
        if record.state is WeightState.STAGED:
            # What may be switched now is switched first; what may not yet
            # is out of date.
            return record.staged_version > self.opened
        return record.state is WeightState.SERVING

    def _switches(
        self, staged: list[TargetRecord], now: Instant
    ) -> list[Order]:
        ready = [
            record
            for record in staged
            if record.state is WeightState.STAGED
            and not record.is_busy
            and record.staged_version <= self.opened
        ]
        if not ready:
            return []
        slack = Slack(self.records_by_id.values(), self._serving_part)
        orders = []
        for record in sorted(ready, key=_rank):
            if slack.of(record.data_centre) <= 0:
                continue
            slack.use(record.data_centre)
            version = record.staged_version
            orders.append(self._begin(record, OrderKind.SWITCH, version, now))
        return orders

    def _begin(
        self,
        record: TargetRecord,
        kind: OrderKind,
        version: WeightVersion,
        now: Instant,
    ) -> Order:
        order = Order(next(self._numbers), record.target, kind, version)
        record.begin(order, Instant(now + ORDER_VALID_SECONDS))
        return order


def _rank(record: TargetRecord) -> int:
    # A second try that waits for all others would end the switch later by
    # a whole swap. One that fails again may fail for ever and only cost
    # capacity.
    return -1 if record.failures == 1 else record.failures
