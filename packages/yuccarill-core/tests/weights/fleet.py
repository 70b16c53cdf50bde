"""Simulated engines and their holders in virtual time, with faults."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.weights import capacity
from yuccarill.core.weights import engine_orders as engine_orders_module
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import OrderKind
from yuccarill.core.weights.orders import OrderOutcome
from yuccarill.core.weights.orders import TargetState
from yuccarill.core.weights.rollout import ModelRollout
from yuccarill.core.weights.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

TICK = 0.1
LATENCY = 0.005
DECIDE_DELAY = 0.04
POLL_SECONDS = 5.0
TAKEOVER_SECONDS = 10.0
MODEL = ModelName('m')


@dataclasses.dataclass
class FakeEngine:
    """One simulated engine and its planned faults."""

    name: TargetId
    data_centre: DataCentreId
    checks_fencing: bool = False
    version: int = 1
    staged: int = 0
    epoch: int = 0
    is_up: bool = True
    is_swapping: bool = False
    # Answers and executes orders only from this time on.
    frozen_until: float = 0.0
    failures_left: int = 0
    lost_orders: int = 0
    lost_replies: int = 0
    # Orders lost on a dead connection.
    silent_orders: int = 0
    # Number of restarts; orders from before a restart have no effect.
    starts: int = 0

    def restart(self, version: int) -> None:
        self.starts += 1
        self.version, self.staged = version, 0
        self.is_up, self.is_swapping = True, False


@dataclasses.dataclass
class Holder:
    """The holder of one shard's targets."""

    engines: list[FakeEngine]
    epoch: Epoch
    is_up: bool = True
    # A holder without a lease has no epoch for its orders.
    has_lease: bool = True
    polled_at: float = -POLL_SECONDS
    orders: engine_orders_module.EngineOrders = dataclasses.field(
        default_factory=engine_orders_module.EngineOrders
    )


class Fleet:
    """Run a model's holder and its shards' holders on one event queue."""

    def __init__(
        self,
        engines: list[FakeEngine],
        shards: int,
        serving_part: float,
        rate: float,
        seed: int = 1,
    ) -> None:
        self.now = Instant(0.0)
        self.engines = engines
        self.part = serving_part
        self.rate = rate
        self.random = random.Random(seed)
        self.holders = [
            Holder(engines[n::shards], Epoch(1)) for n in range(shards)
        ]
        self.model_epoch = Epoch(1)
        self.rollout: ModelRollout | None = None
        self.switch_seconds: Callable[[], float] = lambda: 1.0
        self.stage_seconds: Callable[[], float] = lambda: 2.0
        self.failure_part = 0.0
        self.store_fails_until = 0.0
        self.store_busy_until = 0.0
        self.store_newest = 1
        self.downloads: list[float] = []
        self.switched_at: list[float] = []
        self.orders_sent = 0
        self.faults: list[str] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._is_deciding_soon = False
        self._holders_by_id = {
            e.name: h for h in self.holders for e in h.engines
        }
        self._numbers = itertools.count()
        self.start_model_holder()

    def at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float, until: Callable[[], bool]) -> bool:
        """Run for some seconds or until a condition holds."""
        end = self.now + seconds
        while self.now < end:
            self._tick()
            if until():
                return True
            tick = self.now + TICK
            while self._queue and self._queue[0][0] <= tick:
                at, _, action = heapq.heappop(self._queue)
                self.now = Instant(max(self.now, at))
                action()
            self.now = Instant(tick)
        return False

    def start_model_holder(self) -> None:
        self.rollout = ModelRollout(
            {e.name: e.data_centre for e in self.engines},
            self.part,
            TokenBucket(self.rate, self.now),
            self.model_epoch,
        )
        for holder in self.holders:
            self._query(holder)

    def crash_model_holder(self) -> None:
        if self.rollout is None:
            return
        self.rollout = None
        self.model_epoch = Epoch(self.model_epoch + 1)
        self.at(TAKEOVER_SECONDS, self.start_model_holder)

    def crash_holder(self, holder: Holder) -> None:
        holder.is_up = False
        self.at(TAKEOVER_SECONDS, lambda: self._take_over(holder))

    def pause_holder(self, holder: Holder) -> None:
        """Pause a holder until after its successor has taken over."""
        paused = Holder(holder.engines, holder.epoch, True, False)
        paused.orders = holder.orders
        self.crash_holder(holder)
        names = {engine.name for engine in holder.engines}

        def resume() -> None:
            records = self.rollout.records_by_id if self.rollout else {}
            for name in names & records.keys():
                if records[name].order is not None:
                    self._receive(
                        paused, records[name].order, self.model_epoch
                    )
            self._push(paused)

        self.at(TAKEOVER_SECONDS + 2, resume)

    def is_done(self) -> bool:
        newest = self.newest
        return all(e.is_up and e.version == newest for e in self.engines)

    @property
    def newest(self) -> int:
        return max([self.store_newest, *(e.version for e in self.engines)])

    def serving(self) -> int:
        return sum(
            e.is_up and not e.is_swapping and e.frozen_until <= self.now
            for e in self.engines
        )

    def _take_over(self, holder: Holder) -> None:
        holder.orders = engine_orders_module.EngineOrders()
        holder.epoch = Epoch(holder.epoch + 1)
        holder.is_up, holder.polled_at = True, -POLL_SECONDS
        self._query(holder)

    def _query(self, holder: Holder) -> None:
        if self.rollout is None:
            return
        for engine in holder.engines:
            self.rollout.records_by_id[engine.name].mark_unknown()
            holder.orders.repeat_report(engine.name)
        holder.orders.accept_model_epoch(MODEL, self.model_epoch)

    def _tick(self) -> None:
        for holder in self.holders:
            if not holder.is_up:
                continue
            if self.now >= holder.polled_at + POLL_SECONDS:
                holder.polled_at = self.now
                self._poll(holder)
            self._push(holder)
        if self.rollout is None:
            return
        if self.now >= self.store_fails_until:
            self.rollout.raise_newest(
                WeightVersion(self.store_newest), self.now
            )
        self._decide()

    def _decide(self) -> None:
        self._is_deciding_soon = False
        if self.rollout is None:
            return
        epoch = self.model_epoch
        for order in self.rollout.decide(self.now):
            holder = self._holders_by_id[order.target]
            self.at(
                LATENCY, lambda h=holder, o=order: self._receive(h, o, epoch)
            )

    def _poll(self, holder: Holder) -> None:
        for engine in holder.engines:
            holder.orders.set_epoch(engine.name, holder.epoch, self.now)
            holder.orders.record_state(engine.name, self._read(engine))

    def _read(self, engine: FakeEngine) -> TargetState | None:
        if not engine.is_up or engine.frozen_until > self.now:
            return None
        return TargetState(
            model=MODEL,
            weight_version=WeightVersion(engine.version),
            staged_version=WeightVersion(engine.staged),
            epoch=Epoch(engine.epoch),
            in_flight=0,
            queued=0,
            seen_at=self.now,
        )

    def _push(self, holder: Holder) -> None:
        for report in holder.orders.changed_reports(self.now):
            self.at(LATENCY, lambda r=report: self._report(r))

    def _report(self, report: object) -> None:
        if self.rollout is None:
            return
        self.rollout.observe(report, self.now)
        if not self._is_deciding_soon and self.rollout.is_switching:
            self._is_deciding_soon = True
            self.at(DECIDE_DELAY, self._decide)

    def _receive(self, holder: Holder, order: Order, epoch: Epoch) -> None:
        engine = next(e for e in holder.engines if e.name == order.target)
        if engine.lost_orders:
            engine.lost_orders -= 1
            return
        if not holder.is_up:
            return
        if not holder.orders.accept_model_epoch(MODEL, epoch):
            return
        order_epoch = holder.epoch if holder.has_lease else None
        if holder.orders.begin(order, order_epoch, self.now) is not None:
            return
        if order.version <= engine.version:
            self.faults.append(f'{engine.name} ordered to no newer version')
        self.orders_sent += 1
        wait = max(LATENCY, engine.frozen_until - self.now)
        self.at(wait, lambda: self._arrive(engine, order, holder))
        self.at(
            engine_orders_module.ORDER_SECONDS,
            lambda: self._end(engine, holder, order, OrderOutcome.SILENT),
        )

    def _arrive(
        self, engine: FakeEngine, order: Order, holder: Holder
    ) -> None:
        if engine.silent_orders:
            engine.silent_orders -= 1
            return
        if not engine.is_up:
            return
        if engine.checks_fencing and holder.epoch < engine.epoch:
            self._end(engine, holder, order, OrderOutcome.REFUSED)
            return
        engine.epoch = max(engine.epoch, holder.epoch)
        starts = engine.starts
        if order.kind is OrderKind.STAGE:
            self.downloads.append(self.now)
            seconds = self.stage_seconds()
        else:
            engine.is_swapping = True
            self._check_min_serving(engine)
            seconds = self.switch_seconds()

        def finish() -> None:
            if engine.starts != starts or not engine.is_up:
                return
            outcome = self._effect(engine, order)
            if engine.lost_replies:
                engine.lost_replies -= 1
                outcome = OrderOutcome.SILENT
            self._end(engine, holder, order, outcome)

        self.at(seconds, finish)

    def _effect(self, engine: FakeEngine, order: Order) -> OrderOutcome:
        is_stage = order.kind is OrderKind.STAGE
        engine.is_swapping = engine.is_swapping and is_stage
        fails = self.random.random() < self.failure_part
        if engine.failures_left or fails:
            engine.failures_left -= engine.failures_left > 0
            return OrderOutcome.FAILED
        refused_until = max(self.store_fails_until, self.store_busy_until)
        if is_stage and self.now < refused_until:
            return OrderOutcome.FAILED
        if is_stage:
            engine.staged = order.version
        else:
            engine.version, engine.staged = order.version, 0
            self.switched_at.append(self.now)
        return OrderOutcome.DONE

    def _end(
        self,
        engine: FakeEngine,
        holder: Holder,
        order: Order,
        outcome: OrderOutcome,
    ) -> None:
        holder.orders.record_state(engine.name, self._read(engine))
        holder.orders.finish(order, outcome)
        if holder.is_up:
            self._push(holder)

    def _check_min_serving(self, engine: FakeEngine) -> None:
        for centre in (None, engine.data_centre):
            members = [
                e
                for e in self.engines
                if centre is None or e.data_centre == centre
            ]
            serving = sum(e.is_up and not e.is_swapping for e in members)
            switching = sum(e.is_up and e.is_swapping for e in members)
            minimum = capacity.min_serving(len(members), self.part)
            # One engine may switch even if too few serve.
            if serving < minimum and switching > 1:
                self.faults.append(
                    f'{serving} serving, minimum {minimum}, at {self.now:.1f}'
                )
