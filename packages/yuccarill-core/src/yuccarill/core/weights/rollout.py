"""Roll out a model's newest weight version to all its engines."""

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
from yuccarill.core.weights.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.weights.orders import Report

# An order times out only when it can no longer take effect: its sender may
# pause and send it just before the lease expires, and it takes time to run.
ORDER_VALID_SECONDS = 16.0
# How long the switch waits for engines that fail to stage, in addition to
# the time that staging takes at the store's rate limit.
STAGE_GRACE_SECONDS = 30.0
EPOCH_SHIFT = 32


class ModelRollout:
    """Decide which engines stage and switch next."""

    def __init__(
        self,
        engines: Mapping[TargetId, DataCentreId],
        serving_part: float,
        tokens: TokenBucket,
        epoch: Epoch,
        retries: RetryPolicy | None = None,
    ) -> None:
        self.records_by_id: dict[TargetId, TargetRecord] = {}
        self.newest = NO_VERSION
        # Highest version that engines may switch to.
        self.switchable = NO_VERSION
        self._switch_by = Instant(0.0)
        # No order is due before the next report or version.
        self._is_idle = False
        self._serving_part = serving_part
        self.tokens = tokens
        self._retries = retries or RetryPolicy()
        # Numbers differ between epochs: otherwise a late report on an earlier
        # order would end a current one while its engine still switches.
        self._numbers = itertools.count((epoch << EPOCH_SHIFT) + 1)
        self.set_engines(engines, serving_part)

    def set_engines(
        self, engines: Mapping[TargetId, DataCentreId], serving_part: float
    ) -> None:
        """Set the engines and the serving part from the inventory."""
        self._serving_part = serving_part
        self._is_idle = False
        self.records_by_id = {
            target: self.records_by_id.get(target)
            or TargetRecord(target, data_centre)
            for target, data_centre in engines.items()
        }
        self._index = EngineIndex(self.records_by_id.values())

    def raise_newest(self, version: WeightVersion, now: Instant) -> None:
        """Set the newest version if the store or an engine has a newer one."""
        if version <= self.newest:
            return
        # Versions that arrive faster than they are staged must not postpone
        # the deadline, or no engine would ever switch.
        if self.switchable == self.newest:
            staging = len(self.records_by_id) / max(self.tokens.rate, 1e-9)
            self._switch_by = Instant(now + staging + STAGE_GRACE_SECONDS)
        self.newest = version
        self._is_idle = False
        for record in self.records_by_id.values():
            record.reset_retries()

    def observe(self, report: Report, now: Instant) -> None:
        """Apply a report on one engine."""
        record = self.records_by_id.get(report.target)
        if record is None:
            return
        if not record.apply_report(report, now, self._retries):
            return
        self._is_idle = False
        # The store may return an older version than engines already have;
        # engines must not be ordered back to it.
        self.raise_newest(record.best_version, now)

    def decide(self, now: Instant) -> list[Order]:
        """Return the orders to send now."""
        if self._is_idle:
            return []
        self._index.refresh(self.newest, self.switchable)
        for position in self._index.expiring:
            self._index.records[position].expire(now, self._retries)
        self._index.refresh(self.newest, self.switchable)
        self._is_idle = not self._index.progressing
        self._raise_switchable(now)
        if self._is_idle:
            return []
        self._index.refresh(self.newest, self.switchable)
        return self._stages(now) + self._switches(now)

    def drop(self, orders: Iterable[Order], now: Instant) -> None:
        """Drop orders of which nothing was sent."""
        for order in orders:
            record = self.records_by_id.get(order.target)
            if record is not None and record.order == order:
                self._is_idle = False
                record.drop_order(now, self._retries)

    @property
    def is_active(self) -> bool:
        """Return whether orders are running or may be due."""
        return not self._is_idle

    @property
    def is_switching(self) -> bool:
        """Return whether a report may allow further engines to switch."""
        return self.switchable == self.newest and not self._is_idle

    def _raise_switchable(self, now: Instant) -> None:
        if self.switchable == self.newest:
            return
        if not self._index.awaiting_stage or now >= self._switch_by:
            self.switchable = self.newest

    def _stages(self, now: Instant) -> list[Order]:
        orders = []
        for position in self._index.stageable:
            if not self.tokens.try_consume(now):
                break
            record = self._index.records[position]
            orders.append(
                self._begin(record, OrderKind.STAGE, self.newest, now)
            )
        return orders

    def _switches(self, now: Instant) -> list[Order]:
        slack = Slack(self._index.counts, self._serving_part)
        # No more engines of a data centre can switch than its slack allows.
        ready = [
            itertools.islice(ranked, max(0, slack.remaining(data_centre)))
            for data_centre, ranked in self._index.ready_by_data_centre.items()
            if ranked
        ]
        orders = []
        for _, position in heapq.merge(*ready):
            record = self._index.records[position]
            if slack.remaining(record.data_centre) <= 0:
                continue
            slack.reserve(record.data_centre)
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
