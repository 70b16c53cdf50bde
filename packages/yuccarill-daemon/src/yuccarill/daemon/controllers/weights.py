"""Roll out weight versions to the engines of models held here."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.leases import shards
from yuccarill.core.weights.record import WeightState
from yuccarill.core.weights import rollout as rollout_module
from yuccarill.core.weights import token_bucket
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.snapshot import Snapshot
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.ids import TargetId
    from yuccarill.core.membership.instances import Instance
    from yuccarill.core.weights.orders import Order
    from yuccarill.daemon.adapters.weight_store import WeightStoreAdapter
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.controllers.targets import TargetController
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('weights')

ACTIVE_SECONDS = 0.1
IDLE_SECONDS = 0.5
REFILL_SECONDS = 0.04
STORE_SECONDS = 2.0
SEND_SECONDS = 2.0
QUERY_SECONDS = 1.0
# A holder that has answered sends later changes without a query.
ANSWERED_QUERY_SECONDS = 10.0


@dataclasses.dataclass
class _HeldModel:
    """Store the rollout state of a model whose lease is held here."""

    model: ModelName
    epoch: Epoch
    snapshot: Snapshot
    rollout: rollout_module.ModelRollout
    targets_by_shard: dict[ShardNumber, list[TargetId]]
    # The holder of each shard at the last lookup.
    holders_by_shard: dict[ShardNumber, InstanceId] = dataclasses.field(
        default_factory=dict
    )
    query_at_by_holder: dict[InstanceId, Instant] = dataclasses.field(
        default_factory=dict
    )
    queried_at: Instant = Instant(-QUERY_SECONDS)
    store_read_at: Instant = Instant(-STORE_SECONDS)


class WeightController:
    """Plan weight rollouts for the models that this instance holds."""

    def __init__(
        self,
        blackboard: Blackboard,
        leases: LeaseController,
        store: WeightStoreAdapter,
        targets: TargetController,
        peers: Peers,
        downloads_per_second: float,
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._leases = leases
        self._store = store
        self._targets = targets
        self._peers = peers
        self._downloads_per_second = downloads_per_second
        self._clock = clock
        self._held_by_model: dict[ModelName, _HeldModel] = {}
        self._is_run_scheduled = False
        targets.report_here = self.handle

    async def follow(self) -> None:
        """Advance the weight rollouts periodically."""
        while True:
            seconds = ACTIVE_SECONDS if self.run_once() else IDLE_SECONDS
            await task.deferLater(self._clock, seconds, lambda: None)

    def run_once(self) -> bool:
        """Start all due work; return whether a rollout is active."""
        snapshot = self._blackboard.snapshot
        if snapshot is None:
            return False
        now = self._now()
        for model in snapshot.models_by_name:
            self._update_held(model, snapshot, now)
        for model in self._held_by_model.keys() - snapshot.models_by_name:
            del self._held_by_model[model]
        is_active = False
        for held in self._held_by_model.values():
            self._advance(held, now)
            is_active = is_active or held.rollout.is_active
        return is_active

    def handle(self, body: messages.WeightReports) -> messages.Body:
        """Process reports on engines.

        Raises NotRun if this instance does not hold the model.
        """
        held = self._held_by_model.get(body.model)
        if held is None:
            raise errors.NotRun(
                f'This instance does not hold model {body.model}.'
            )
        for report in body.reports:
            held.rollout.observe(report, self._now())
        # Reuses freed slots without waiting for the next run, which would
        # delay each round of a switch.
        if not self._is_run_scheduled and held.rollout.is_switching:
            self._is_run_scheduled = True
            self._clock.callLater(REFILL_SECONDS, self._run_scheduled)
        return messages.Done()

    def _run_scheduled(self) -> None:
        self._is_run_scheduled = False
        self.run_once()

    def _update_held(
        self, model: ModelName, snapshot: Snapshot, now: Instant
    ) -> None:
        epoch = self._leases.epoch_for(shards.model_duty(model))
        held = self._held_by_model.get(model)
        if epoch is None:
            self._held_by_model.pop(model, None)
        elif held is None or held.epoch != epoch:
            # Queries all states again: orders of a predecessor, or of this
            # process under an earlier epoch, may have taken effect.
            self._held_by_model[model] = self._start_holding(
                model, epoch, snapshot, now
            )
        elif held.snapshot is not snapshot:
            self._update_snapshot(held, snapshot, now)

    def _start_holding(
        self, model: ModelName, epoch: Epoch, snapshot: Snapshot, now: Instant
    ) -> _HeldModel:
        log.info('Lease on model acquired.', model=model, epoch=epoch)
        rollout = rollout_module.ModelRollout(
            _data_centres(snapshot, model),
            snapshot.models_by_name[model].serving_part,
            token_bucket.TokenBucket(self._limit(snapshot, model), now),
            epoch,
        )
        shard_targets = _targets_by_shard(snapshot, model)
        return _HeldModel(model, epoch, snapshot, rollout, shard_targets)

    def _update_snapshot(
        self, held: _HeldModel, snapshot: Snapshot, now: Instant
    ) -> None:
        held.snapshot = snapshot
        held.targets_by_shard = _targets_by_shard(snapshot, held.model)
        held.rollout.set_engines(
            _data_centres(snapshot, held.model),
            snapshot.models_by_name[held.model].serving_part,
        )
        held.rollout.tokens.set_limit(self._limit(snapshot, held.model), now)

    def _advance(self, held: _HeldModel, now: Instant) -> None:
        if now - held.store_read_at >= STORE_SECONDS:
            held.store_read_at = now
            _run_in_background(self._read_store(held))
        if now - held.queried_at >= QUERY_SECONDS:
            held.queried_at = now
            self._query_holders(held)
        orders_by_holder: dict[InstanceId, list[Order]] = (
            collections.defaultdict(list)
        )
        holders_by_id: dict[InstanceId, Instance] = {}
        for order in held.rollout.decide(now):
            holder = self._leases.holder_of(shards.target_duty(order.target))
            if holder is None:
                held.rollout.drop([order], now)
                continue
            holders_by_id[holder.id] = holder
            orders_by_holder[holder.id].append(order)
        for holder_id, orders in orders_by_holder.items():
            holder = holders_by_id[holder_id]
            _run_in_background(self._send(held, holder, orders))

    async def _read_store(self, held: _HeldModel) -> None:
        try:
            version = await self._store.newest(held.model)
        except errors.StoreUnavailable as error:
            log.warning(
                'Newest weight version not read.',
                model=held.model,
                cause=error.message,
            )
            return
        if version > held.rollout.newest:
            log.info('New weights found.', model=held.model, version=version)
        held.rollout.raise_newest(version, self._now())

    def _query_holders(self, held: _HeldModel) -> None:
        """Query the holders of targets in an unknown state."""
        holders_to_query: dict[InstanceId, Instance] = {}
        for shard, targets in held.targets_by_shard.items():
            holder = self._leases.holder_of(shards.target_duty(targets[0]))
            if holder is None:
                continue
            records = [held.rollout.records_by_id[t] for t in targets]
            if held.holders_by_shard.get(shard) != holder.id:
                held.holders_by_shard[shard] = holder.id
                held.query_at_by_holder.pop(holder.id, None)
                for record in records:
                    record.mark_unknown()
            # Queries again: a report that was sent to an instance that wrongly
            # acted as the holder of the model never arrives here.
            if any(r.state is WeightState.UNKNOWN for r in records):
                holders_to_query[holder.id] = holder
        now = self._now()
        for holder in holders_to_query.values():
            if now >= held.query_at_by_holder.get(holder.id, now):
                _run_in_background(self._query_holder(held, holder))

    async def _query_holder(self, held: _HeldModel, holder: Instance) -> None:
        body = messages.WeightQuery(model=held.model, epoch=held.epoch)
        try:
            reply = await self._request(holder, body)
        except errors.YuccarillError:
            return
        now = self._now()
        held.query_at_by_holder[holder.id] = Instant(
            now + ANSWERED_QUERY_SECONDS
        )
        for report in reply.reports:
            held.rollout.observe(report, now)

    async def _send(
        self, held: _HeldModel, holder: Instance, orders: list[Order]
    ) -> None:
        body = messages.WeightOrders(
            model=held.model, epoch=held.epoch, orders=tuple(orders)
        )
        try:
            reply = await self._request(holder, body)
            refused = [o for o in orders if o.number in reply.refused]
            held.rollout.drop(refused, self._now())
        except errors.NotRun:
            held.rollout.drop(orders, self._now())
        except errors.YuccarillError as error:
            # The orders may have been accepted. Reports confirm it, or the
            # orders expire.
            log.warning(
                'Delivery of weight orders is unconfirmed.',
                holder=holder.id,
                cause=error.message,
            )

    async def _request(self, holder: Instance, body: Any) -> Any:
        if holder.id == self._blackboard.own_instance.id:
            return await self._targets.handle(body)
        return await self._peers.request(holder, body, SEND_SECONDS)

    def _limit(self, snapshot: Snapshot, model: ModelName) -> float:
        return token_bucket.model_limit(
            self._downloads_per_second,
            len(snapshot.engines_by_model.get(model, ())),
            len(snapshot.inventory.engines),
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


def _data_centres(snapshot: Snapshot, model: ModelName) -> dict[Any, Any]:
    engines = snapshot.engines_by_model.get(model, ())
    return {engine.id: engine.data_centre for engine in engines}


def _targets_by_shard(
    snapshot: Snapshot, model: ModelName
) -> dict[ShardNumber, list[TargetId]]:
    found: dict[ShardNumber, list[TargetId]] = collections.defaultdict(list)
    for engine in snapshot.engines_by_model.get(model, ()):
        shard = shards.shard_of(shards.target_duty(engine.id))
        found[shard].append(engine.id)
    return found


def _run_in_background(work: Coroutine[Any, Any, None]) -> None:
    defer.ensureDeferred(work).addErrback(
        lambda error: log.error('Weight task failed.', cause=str(error)[:500])
    )
