"""Order targets for one service while its duty is held here."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.scaling import measure as measure_module
from yuccarill.core.scaling import scaling as scaling_module
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

# Seconds between looks at what the targets have to do.
STEP_SECONDS = 0.25
# Seconds that are averaged: two steps of a trainer that asks each 4 s.
WINDOW_SECONDS = 8.0
# Seconds without any work after which none is expected.
IDLE_SECONDS = 120.0


class Scaler:
    """Measure a service's work, and order the targets that it needs."""

    def __init__(
        self,
        duty: Duty,
        state: GatewayState,
        orders: TargetOrders,
        work: Callable[[], tuple[int, int]],
        policy: scaling_module.ScalingPolicy,
        clock: Any,
        *,
        uses_revocable: bool,
    ) -> None:
        self._duty = duty
        self._state = state
        self._orders = orders
        # Returns the places in use, and how many requests wait for one.
        self._work = work
        self._clock = clock
        self._uses_revocable = uses_revocable
        self._measure = measure_module.WorkMeasure(
            WINDOW_SECONDS, IDLE_SECONDS
        )
        self._scaling = scaling_module.Scaling(duty.service, policy)
        self._sending: defer.Deferred[None] | None = None
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = clock

    def start(self) -> None:
        """Begin to measure."""
        self._ticker.start(STEP_SECONDS).addErrback(self._failed)

    def stop(self) -> None:
        """Order nothing more."""
        if self._ticker.running:
            self._ticker.stop()
        if self._sending is not None:
            self._sending.cancel()

    def _tick(self) -> None:
        now = self._now()
        busy, waiting = self._work()
        self._measure.add(measure_module.WorkSample(now, busy, waiting))
        bounds = self._bounds()
        if bounds is None or self._sending is not None:
            return
        if not self._duty.may_order():
            return
        found = self._scaling.orders(
            bounds, self._slots(), self._measure, self._listed(), now
        )
        if found:
            self._sending = defer.Deferred.fromCoroutine(self._send(found))
            self._sending.addErrback(self._failed)
            self._sending.addBoth(self._sent)

    def _bounds(self) -> ScalingBounds | None:
        table = self._state.table
        if table is None:
            return None
        service = table.services_by_name.get(self._duty.service)
        bounds = None if service is None else service.scaling
        if bounds is None or self._uses_revocable:
            return bounds
        return msgspec.structs.replace(bounds, revocable_part=None)

    def _slots(self) -> int:
        engines = self._state.engines(self._duty.service)
        return min((engine.slots for engine in engines), default=1)

    def _listed(self) -> Counts:
        return collections.Counter(
            (engine.data_centre, engine.kind)
            for engine in self._state.engines(self._duty.service)
        )

    async def _send(self, orders: list[TargetOrder]) -> None:
        for order in orders:
            tenure = self._duty.tenure
            if tenure is None or not self._duty.may_order():
                return
            self._duty.order()
            self._scaling.record_sent(order, self._now())
            end = await self._orders.send(
                order, self._state.settings.instance, tenure.epoch
            )
            self._scaling.record_result(order, end, self._now())
            meters.TARGET_ORDERS.labels(end.value).inc()
            log.info(
                'Targets ordered.',
                service=order.service,
                data_centre=order.data_centre,
                kind=order.kind.value,
                count=order.count,
                wanted=round(self._measure.demand, 1),
                outcome=end.value,
                epoch=tenure.epoch,
            )

    def _sent(self, _: object) -> None:
        self._sending = None

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Targets not ordered.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
