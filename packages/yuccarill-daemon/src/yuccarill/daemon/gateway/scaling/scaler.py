"""Order targets for one service while this instance holds its duty."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.scaling import measure as measure_module
from yuccarill.core.scaling import scaling as scaling_module
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.scaling.plan import ScalingBounds
    from yuccarill.core.scaling.plan import TargetOrder
    from yuccarill.core.scaling.sizing import Counts
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.target_orders import TargetOrders

log = logs.for_part('scaling')

# Interval of load samples.
STEP_SECONDS = 0.25
# Averaging window; covers two steps of a typical trainer.
WINDOW_SECONDS = 8.0
# Seconds without load after which a service counts as idle.
IDLE_SECONDS = 120.0


class Scaler:
    """Measure a service's load and order the targets that it needs."""

    def __init__(
        self,
        duty: Duty,
        state: GatewayState,
        orders: TargetOrders,
        load: Callable[[], tuple[int, int]],
        policy: scaling_module.ScalingPolicy,
        clock: Any,
        *,
        uses_revocable: bool,
    ) -> None:
        self._duty = duty
        self._state = state
        self._orders = orders
        # Returns the number of busy slots and of requests that wait for one.
        self._load = load
        self._clock = clock
        self._uses_revocable = uses_revocable
        self._measure = measure_module.WorkMeasure(
            WINDOW_SECONDS, IDLE_SECONDS
        )
        self._scaling = scaling_module.Scaling(duty.service, policy)
        self._sending: defer.Deferred[None] | None = None
        self._sampler = background.ticker(self._sample_load, 'scaling', clock)

    def start(self) -> None:
        """Start measuring load and ordering targets."""
        self._sampler.start(STEP_SECONDS).addErrback(self._log_failure)

    def stop(self) -> None:
        """Stop scaling and cancel the order in flight."""
        if self._sampler.running:
            self._sampler.stop()
        if self._sending is not None:
            self._sending.cancel()

    def _sample_load(self) -> None:
        now = self._now()
        busy, waiting = self._load()
        self._measure.add(measure_module.WorkSample(now, busy, waiting))
        bounds = self._bounds()
        if bounds is None or self._sending is not None:
            return
        if not self._duty.can_send_orders():
            return
        orders = self._scaling.orders(
            bounds,
            self._slots_per_engine(),
            self._measure,
            self._listed_counts(),
            now,
        )
        if orders:
            self._sending = defer.Deferred.fromCoroutine(self._send(orders))
            self._sending.addErrback(self._log_failure)
            self._sending.addBoth(self._clear_sending)

    def _bounds(self) -> ScalingBounds | None:
        table = self._state.route_table
        if table is None:
            return None
        service = table.services_by_name.get(self._duty.service)
        bounds = None if service is None else service.scaling
        if bounds is None or self._uses_revocable:
            return bounds
        return msgspec.structs.replace(bounds, revocable_part=None)

    def _slots_per_engine(self) -> int:
        engines = self._state.engines(self._duty.service)
        return min((engine.slots for engine in engines), default=1)

    def _listed_counts(self) -> Counts:
        return collections.Counter(
            (engine.data_centre, engine.kind)
            for engine in self._state.engines(self._duty.service)
        )

    async def _send(self, orders: list[TargetOrder]) -> None:
        for order in orders:
            held_lease = self._duty.held_lease
            if held_lease is None or not self._duty.can_send_orders():
                return
            self._duty.record_order()
            self._scaling.record_sent(order, self._now())
            result = await self._orders.send(
                order, self._state.settings.instance, held_lease.epoch
            )
            self._scaling.record_result(order, result, self._now())
            meters.TARGET_ORDERS.labels(result.value).inc()
            log.info(
                'Target order sent.',
                service=order.service,
                data_centre=order.data_centre,
                kind=order.kind.value,
                count=order.count,
                wanted=round(self._measure.demand, 1),
                outcome=result.value,
                epoch=held_lease.epoch,
            )

    def _clear_sending(self, _: object) -> None:
        self._sending = None

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Scaling step failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
