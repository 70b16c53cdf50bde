"""Order engines to switch weights while this instance has the duty."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import weight_change_hold
from yuccarill.core.jobs import weights
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs
from yuccarill.platform import engines as wire_engines

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.ids import ModelName
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job_queue import JobQueue
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.weights.engine_requests import EngineRequests
    from yuccarill.platform.engines import Engines

log = logs.for_part('weights')

# Seconds to wait for active runs to end before a switch, and between checks.
DRAIN_SECONDS = 0.8
DRAIN_POLL_SECONDS = 0.05
# Timeout of an order or a report.
ORDER_SECONDS = 1.0
# Seconds between reports while weights load; short, to limit idle time. A load
# takes 0.9 s and more.
REPORT_SECONDS = 0.2
# Maximum age of the store's confirmation of the duty when an order is sent;
# shorter than the wait of a new holder, so that only one gives orders.
MAX_DUTY_AGE_SECONDS = 0.5
# Seconds after which an unconfirmed switch is ordered again.
SWITCH_SECONDS = 6.0
# Seconds before an engine that failed or refused is tried again.
RETRY_SECONDS = 0.5


class WeightSwitcher:
    """Execute the weight switches that are planned for the engines."""

    def __init__(
        self,
        state: GatewayState,
        duty: Duty,
        queue: JobQueue,
        fleet: EngineFleet,
        engines: Engines,
        requests: EngineRequests,
        on_switched: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._duty = duty
        self._queue = queue
        self._fleet = fleet
        self._change_hold = weight_change_hold.WeightChangeHold()
        self._engines = engines
        self._requests = requests
        self._on_switched = on_switched
        self._clock = clock
        self._running: set[defer.Deferred[None]] = set()
        # Items per step of each model, from its last job.
        self.items_by_model: dict[ModelName, int] = {}

    def update(self) -> None:
        """Start the switches that are due."""
        if not self._duty.can_send_orders():
            return
        versions_by_model = {
            model: version
            for model, version in self._requests.versions_by_model.items()
            if self._is_served(model)
        }
        switches = weights.next_switches(
            self._fleet,
            versions_by_model,
            self.items_by_model,
            self._now(),
            self._change_hold.held_models(
                versions_by_model, self._queue, self._now()
            ),
        )
        # All are marked before any switch starts: the switch of an idle engine
        # calls `update` at once, which would order the other engines twice.
        for switch in switches:
            engine = self._fleet.engines_by_id[switch.engine]
            engine.switching_models.add(switch.model)
        for switch in switches:
            engine = self._fleet.engines_by_id[switch.engine]
            running = defer.Deferred.fromCoroutine(
                self._switch(engine, switch)
            )
            self._running.add(running)
            running.addBoth(self._finish, running, engine, switch)

    def stop(self) -> None:
        """Cancel the active switches."""
        for running in list(self._running):
            running.cancel()

    def _is_served(self, model: ModelName) -> bool:
        if not self._state.loads_model(self._duty.service, model):
            # The engines of another duty holder load this model.
            return False
        return any(
            model in engine.target.versions_by_model
            for engine in self._fleet.engines_by_id.values()
        )

    def _finish(
        self,
        result: Any,
        running: defer.Deferred[None],
        engine: EngineState,
        switch: weights.Switch,
    ) -> None:
        self._running.discard(running)
        engine.switching_models.discard(switch.model)
        engine.draining_models.discard(switch.model)
        if hasattr(result, 'check') and not result.check(defer.CancelledError):
            log.error('Weight switch failed.', cause=result.getTraceback())
        self._on_switched()

    async def _switch(
        self, engine: EngineState, switch: weights.Switch
    ) -> None:
        await self._drain(engine, switch)
        give_up_at = self._now() + SWITCH_SECONDS
        report = await self._fetch_report(engine)
        if report is None:
            await self._pause(RETRY_SECONDS)
            return
        if _has_version(report, switch):
            engine.record_version(switch.model, switch.version)
            return
        if not report.is_busy:
            outcome = await self._send_order(engine, switch, report)
            if outcome is wire_engines.OrderOutcome.ALREADY_HOLDS:
                engine.record_version(switch.model, switch.version)
                return
            if outcome not in (
                wire_engines.OrderOutcome.ACCEPTED,
                wire_engines.OrderOutcome.UNKNOWN,
            ):
                await self._pause(RETRY_SECONDS)
                return
        while self._now() < give_up_at and self._fleet.is_current(engine):
            await self._pause(REPORT_SECONDS)
            new_report = await self._fetch_report(engine)
            if new_report is None:
                continue
            if _has_version(new_report, switch) and not new_report.is_busy:
                engine.record_version(switch.model, switch.version)
                return
            is_lost = new_report.orders_accepted == report.orders_accepted
            if is_lost and not new_report.is_busy and not report.is_busy:
                # Reports lag: an order counts as lost only after a delay.
                if self._now() > give_up_at - SWITCH_SECONDS + 1.5:
                    return

    async def _drain(
        self, engine: EngineState, switch: weights.Switch
    ) -> None:
        # Runs that end in time need not resume at another engine.
        until = self._now() + DRAIN_SECONDS
        while engine.runs_by_model[switch.model] and self._now() < until:
            await self._pause(DRAIN_POLL_SECONDS)
        engine.draining_models.add(switch.model)
        self._on_switched()

    async def _send_order(
        self,
        engine: EngineState,
        switch: weights.Switch,
        report: wire_engines.EngineReport,
    ) -> wire_engines.OrderOutcome:
        is_confirmed = await self._duty.confirm(MAX_DUTY_AGE_SECONDS)
        if not self._fleet.is_current(engine):
            # The engine restarted: its order count belongs to the old process.
            return wire_engines.OrderOutcome.GONE
        held_lease = self._duty.held_lease
        now = self._now()
        # Checked right before the order: the confirmation can have taken
        # longer than the lease.
        if (
            not is_confirmed
            or held_lease is None
            or not self._duty.can_send_orders()
        ):
            return wire_engines.OrderOutcome.FENCED
        self._duty.record_order()
        order = wire_engines.VersionOrder(
            model=switch.model,
            version=switch.version,
            mode=wire_engines.SwitchMode.CONTINUE,
            holder=self._state.settings.instance,
            epoch=held_lease.epoch,
            # An unanswered order can be executed seconds later; the expected
            # count makes it fail once another order was accepted.
            expected_orders=report.orders_accepted,
        )
        outcome = await self._engines.order(
            engine.target, order, Instant(now + ORDER_SECONDS)
        )
        meters.ORDERS.labels(outcome.value).inc()
        log.info(
            'Weight switch ordered.',
            engine=engine.target.id,
            model=switch.model,
            version=switch.version,
            epoch=held_lease.epoch,
            expected=report.orders_accepted,
            running=engine.running,
            outcome=outcome,
        )
        return outcome

    async def _fetch_report(
        self, engine: EngineState
    ) -> wire_engines.EngineReport | None:
        deadline = Instant(self._now() + ORDER_SECONDS)
        try:
            report = await self._engines.report(engine.target, deadline)
        except wire_engines.ReportUnavailable as error:
            log.info(
                'Engine report failed.',
                engine=engine.target.id,
                cause=str(error),
            )
            return None
        if report.is_of(engine.target):
            return report
        # The list still shows the previous process and its versions; items
        # sent for these versions would all be aborted.
        engine.fail(self._now())
        log.info(
            'Engine restarted.',
            engine=engine.target.id,
            listed_start=engine.target.start.started_at,
            start=report.started_at,
        )
        return None

    async def _pause(self, seconds: float) -> None:
        await task.deferLater(self._clock, seconds)

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


def _has_version(
    report: wire_engines.EngineReport, switch: weights.Switch
) -> bool:
    version = report.versions_by_model.get(switch.model)
    return version is not None and version >= switch.version
