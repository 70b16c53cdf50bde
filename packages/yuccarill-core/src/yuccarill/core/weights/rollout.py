"""Bring a model's newest weight version to all its engines."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.weights.capacity import Slack
from yuccarill.core.weights.index import EngineIndex
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import OrderKind
from yuccarill.core.weights.record import TargetRecord
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
        self._index = EngineIndex(self.records_by_id.values())

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
        if self._is_quiet:
            return []
        self._index.refresh(self.newest, self.opened)
        for place in self._index.expiring:
            self._index.records[place].expire(now, self._retries)
        self._index.refresh(self.newest, self.opened)
        self._is_quiet = not self._index.progressing
        self._open(now)
        if self._is_quiet:
            return []
        self._index.refresh(self.newest, self.opened)
        return self._stages(now) + self._switches(now)

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

    def _open(self, now: Instant) -> None:
        if self.opened == self.newest:
            return
        if not self._index.awaited or now >= self._open_by:
            self.opened = self.newest

    def _stages(self, now: Instant) -> list[Order]:
        orders = []
        for place in self._index.stageable:
            if not self.tokens.take(now):
                break
            record = self._index.records[place]
            orders.append(
                self._begin(record, OrderKind.STAGE, self.newest, now)
            )
        return orders

    def _switches(self, now: Instant) -> list[Order]:
        slack = Slack(self._index.tallies, self._serving_part)
        # No more of a data centre's engines can go than its slack, so
        # that the rest of them need not be looked at.
        ready = [
            itertools.islice(places, max(0, slack.of(data_centre)))
            for data_centre, places in self._index.ready_by_data_centre.items()
            if places
        ]
        orders = []
        for _, place in heapq.merge(*ready):
            record = self._index.records[place]
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
