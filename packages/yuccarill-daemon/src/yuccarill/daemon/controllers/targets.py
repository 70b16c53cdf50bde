"""Poll the engines held by this instance and execute their orders."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.leases import shards
from yuccarill.core.weights import engine_orders
from yuccarill.core.weights.orders import OrderOutcome
from yuccarill.core.weights import polling
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.snapshot import Snapshot
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.ids import TargetId
    from yuccarill.core.weights.orders import Order
    from yuccarill.core.weights.orders import Report
    from yuccarill.daemon.adapters.engine_weights import EngineWeightsAdapter
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('targets')

TICK_SECONDS = 0.25
REFRESH_SECONDS = 0.5
REPORT_SECONDS = 2.0


class TargetController:
    """Send orders to the engines whose duty this instance holds."""

    def __init__(
        self,
        blackboard: Blackboard,
        leases: LeaseController,
        engines: EngineWeightsAdapter,
        peers: Peers,
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._leases = leases
        self._engines = engines
        self._peers = peers
        self._clock = clock
        self._orders = engine_orders.EngineOrders()
        self._polls = polling.PollSchedule(self._now())
        self._snapshot: Snapshot | None = None
        self._engines_by_shard: dict[ShardNumber, list[Engine]] = {}
        self._held: tuple[Any, dict[ShardNumber, Epoch]] = (None, {})
        self._refreshed_at = Instant(-REFRESH_SECONDS)
        # Handles reports on models that this instance holds itself.
        self.report_here: Any = None

    async def follow(self) -> None:
        """Start due polls and reports periodically."""
        while True:
            self.run_once()
            await task.deferLater(self._clock, TICK_SECONDS, lambda: None)

    def run_once(self) -> None:
        """Start all polls and reports that are due."""
        now = self._now()
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            self._update_held(now)
        for target in self._polls.due(now):
            _run_in_background(self._poll(target))
        self._push_reports()

    async def handle(
        self, body: messages.WeightOrders | messages.WeightQuery
    ) -> messages.Body:
        """Accept orders or return reports for a model's holder.

        Raises NotRun if the model has a holder with a newer epoch.
        """
        if not self._orders.accept_model_epoch(body.model, body.epoch):
            raise errors.NotRun('The model has a holder with a newer epoch.')
        match body:
            case messages.WeightOrders(orders=orders):
                refused = []
                for order in orders:
                    if order.target in self._orders.targets():
                        _run_in_background(self._execute(order))
                    else:
                        refused.append(order.number)
                return messages.WeightOrdersTaken(refused=tuple(refused))
            case messages.WeightQuery(model=model):
                return messages.WeightReports(
                    model=model, reports=tuple(self._reports(model))
                )

    def _update_held(self, now: Instant) -> None:
        snapshot = self._blackboard.snapshot
        if snapshot is not self._snapshot:
            self._snapshot = snapshot
            self._engines_by_shard = _by_shard(snapshot)
        epochs_by_shard = {
            shard: epoch
            for shard, engines in self._engines_by_shard.items()
            if (epoch := self._epoch(engines[0].id)) is not None
        }
        held_now = (snapshot, epochs_by_shard)
        if held_now == self._held:
            return
        self._held = held_now
        held: set[TargetId] = set()
        for shard, epoch in epochs_by_shard.items():
            for engine in self._engines_by_shard[shard]:
                held.add(engine.id)
                self._orders.set_epoch(engine.id, epoch, now)
        states = self._blackboard.targets_by_id
        for target in self._orders.targets() - held:
            self._orders.release(target)
            states.pop(target, None)
        self._polls.set_targets(sorted(held), now)

    async def _poll(self, target: TargetId) -> None:
        state = None
        try:
            engine = self._engine(target)
            if engine is not None:
                state = await self._engines.read(engine.address)
            self._record(target, state)
        finally:
            self._polls.finish(target, state is not None, self._now())

    def _record(self, target: TargetId, state: Any) -> None:
        self._orders.record_state(target, state)
        if state is not None and target in self._orders.targets():
            self._blackboard.targets_by_id[target] = state

    async def _execute(self, order: Order) -> None:
        engine = self._engine(order.target)
        if engine is None:
            return
        if not self._orders.has_state(order.target):
            # Reads the state first: an order must not downgrade the engine.
            self._record(
                order.target, await self._engines.read(engine.address)
            )
        epoch = self._epoch(order.target)
        refusal = self._orders.begin(order, epoch, self._now())
        if refusal is None and epoch is not None:
            await self._send(engine, order, epoch)
        self._push_reports()

    async def _send(self, engine: Engine, order: Order, epoch: Epoch) -> None:
        result = await self._engines.order(
            engine.address, order, engine.model, epoch
        )
        state = result.state or await self._engines.read(engine.address)
        self._record(engine.id, state)
        self._orders.finish(order, result.outcome)
        if result.outcome is not OrderOutcome.DONE:
            log.warning(
                'Weight order not executed.',
                target=engine.id,
                kind=order.kind.value,
                version=order.version,
                outcome=result.outcome.value,
            )

    def _reports(self, model: ModelName) -> list[Report]:
        now = self._now()
        found = (
            self._orders.report(target, now)
            for target in sorted(self._orders.targets())
            if self._model(target) == model
        )
        return [report for report in found if report is not None]

    def _push_reports(self) -> None:
        by_model: dict[Any, list[Report]] = collections.defaultdict(list)
        for report in self._orders.changed_reports(self._now()):
            by_model[self._model(report.target)].append(report)
        for model, reports in by_model.items():
            if model is not None:
                _run_in_background(self._deliver(model, reports))

    async def _deliver(self, model: ModelName, reports: list[Report]) -> None:
        body = messages.WeightReports(model=model, reports=tuple(reports))
        holder = self._leases.holder_of(shards.model_duty(model))
        try:
            if holder is None:
                raise errors.NoTarget('No instance holds the model yet.')
            if holder.id == self._blackboard.own_instance.id:
                self.report_here(body)
            else:
                await self._peers.request(holder, body, REPORT_SECONDS)
        except errors.YuccarillError:
            await task.deferLater(self._clock, REFRESH_SECONDS, lambda: None)
            for report in reports:
                self._orders.repeat_report(report.target)

    def _epoch(self, target: TargetId) -> Epoch | None:
        return self._leases.epoch_for(shards.target_duty(target))

    def _engine(self, target: TargetId) -> Engine | None:
        snapshot = self._blackboard.snapshot
        return None if snapshot is None else snapshot.engines_by_id.get(target)

    def _model(self, target: TargetId) -> ModelName | None:
        engine = self._engine(target)
        return None if engine is None else engine.model

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


def _by_shard(snapshot: Snapshot | None) -> dict[ShardNumber, list[Engine]]:
    found: dict[ShardNumber, list[Engine]] = collections.defaultdict(list)
    for engine in snapshot.inventory.engines if snapshot else ():
        found[shards.shard_of(shards.target_duty(engine.id))].append(engine)
    return found


def _run_in_background(work: Coroutine[Any, Any, None]) -> None:
    defer.ensureDeferred(work).addErrback(
        lambda error: log.error('Target task failed.', cause=str(error)[:500])
    )
