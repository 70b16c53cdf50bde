"""Order engines to change weights, under the duty for their service."""

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

# Seconds that runs under way have to end before a switch, and between looks
# at them.
EMPTY_SECONDS = 0.8
EMPTY_STEP = 0.05
# Seconds to wait for an answer to an order or a question.
ORDER_SECONDS = 1.0
# Seconds between questions while weights load. A load takes 0.9 s and more;
# a question is cheap, and an engine that waits idle is not.
REPORT_SECONDS = 0.2
# Seconds within which the store has to have known the duty for an order to
# be sent, less than a successor waits.
ORDER_AGE = 0.5
# Seconds after which a switch that is not seen is ordered again.
SWITCH_SECONDS = 6.0
# Seconds before an engine that refused is asked again.
RETRY_SECONDS = 0.5


class WeightSwitcher:
    """Carry out the switches that the plan asks for."""

    def __init__(
        self,
        state: GatewayState,
        duty: Duty,
        board: JobQueue,
        fleet: EngineFleet,
        engines: Engines,
        requests: EngineRequests,
        on_switched: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._duty = duty
        self._board = board
        self._fleet = fleet
        self._hold = weight_change_hold.WeightChangeHold()
        self._engines = engines
        self._requests = requests
        self._on_switched = on_switched
        self._clock = clock
        self._running: set[defer.Deferred[None]] = set()
        # How many items a step of each model has, by the last one.
        self.items_by_model: dict[ModelName, int] = {}

    def update(self) -> None:
        """Begin the switches that may begin now."""
        if not self._duty.may_order():
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
            self._hold.held_models(
                versions_by_model, self._board, self._now()
            ),
        )
        # All are marked before the first one begins: an idle engine's switch
        # asks for the next look at once, which would begin the others too.
        # Eight idle engines got 36 orders that way, each one paid for.
        for switch in switches:
            engine = self._fleet.engines_by_id[switch.engine]
            engine.switching_models.add(switch.model)
        for switch in switches:
            engine = self._fleet.engines_by_id[switch.engine]
            running = defer.Deferred.fromCoroutine(
                self._switch(engine, switch)
            )
            self._running.add(running)
            running.addBoth(self._ended, running, engine, switch)

    def stop(self) -> None:
        """Give up what is under way."""
        for running in list(self._running):
            running.cancel()

    def _is_served(self, model: ModelName) -> bool:
        if not self._state.follows(self._duty.service, model):
            # Another holder's engines follow it.
            return False
        return any(
            model in engine.target.versions_by_model
            for engine in self._fleet.engines_by_id.values()
        )

    def _ended(
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
            log.error('Switch failed.', cause=result.getTraceback())
        self._on_switched()

    async def _switch(
        self, engine: EngineState, switch: weights.Switch
    ) -> None:
        await self._empty(engine, switch)
        give_up_at = self._now() + SWITCH_SECONDS
        report = await self._report(engine)
        if report is None:
            await self._pause(RETRY_SECONDS)
            return
        if _has(report, switch):
            engine.record_version(switch.model, switch.version)
            return
        if not report.is_busy:
            outcome = await self._order(engine, switch, report)
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
            seen = await self._report(engine)
            if seen is None:
                continue
            if _has(seen, switch) and not seen.is_busy:
                engine.record_version(switch.model, switch.version)
                return
            is_lost = seen.orders_accepted == report.orders_accepted
            if is_lost and not seen.is_busy and not report.is_busy:
                # Reports lag: the second one without a sign tells.
                if self._now() > give_up_at - SWITCH_SECONDS + 1.5:
                    return

    async def _empty(
        self, engine: EngineState, switch: weights.Switch
    ) -> None:
        # Half of the texts take 0.6 s: those that end by themselves need
        # not go on elsewhere over a new connection.
        until = self._now() + EMPTY_SECONDS
        while engine.runs_by_model[switch.model] and self._now() < until:
            await self._pause(EMPTY_STEP)
        engine.draining_models.add(switch.model)
        self._on_switched()

    async def _order(
        self,
        engine: EngineState,
        switch: weights.Switch,
        report: wire_engines.EngineReport,
    ) -> wire_engines.OrderOutcome:
        is_known = await self._duty.confirm(ORDER_AGE)
        if not self._fleet.is_current(engine):
            # The count of orders is that of the process before: the one that
            # started again is looked at anew, as another engine.
            return wire_engines.OrderOutcome.GONE
        tenure = self._duty.tenure
        now = self._now()
        # Checked right before the order: the question before it may have
        # taken longer than the lease.
        if not is_known or tenure is None or not self._duty.may_order():
            return wire_engines.OrderOutcome.FENCED
        self._duty.order()
        order = wire_engines.VersionOrder(
            model=switch.model,
            version=switch.version,
            mode=wire_engines.SwitchMode.CONTINUE,
            holder=self._state.settings.instance,
            epoch=tenure.epoch,
            # An order without an answer may be carried out seconds later:
            # with the count it expects, it fails once another one stands.
            expected_orders=report.orders_accepted,
        )
        outcome = await self._engines.order(
            engine.target, order, Instant(now + ORDER_SECONDS)
        )
        meters.ORDERS.labels(outcome.value).inc()
        log.info(
            'Ordered.',
            engine=engine.target.id,
            model=switch.model,
            version=switch.version,
            epoch=tenure.epoch,
            expected=report.orders_accepted,
            running=engine.running,
            outcome=outcome,
        )
        return outcome

    async def _report(
        self, engine: EngineState
    ) -> wire_engines.EngineReport | None:
        deadline = Instant(self._now() + ORDER_SECONDS)
        try:
            report = await self._engines.report(engine.target, deadline)
        except wire_engines.ReportUnavailable as error:
            log.info('No report.', engine=engine.target.id, cause=str(error))
            return None
        if report.is_of(engine.target):
            return report
        # Its entry is still that of the process before, with the versions
        # that it had: items sent by those would all be broken off.
        engine.fail(self._now())
        log.info(
            'Engine started again.',
            engine=engine.target.id,
            listed_start=engine.target.start.started_at,
            start=report.started_at,
        )
        return None

    async def _pause(self, seconds: float) -> None:
        await task.deferLater(self._clock, seconds)

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


def _has(report: wire_engines.EngineReport, switch: weights.Switch) -> bool:
    version = report.versions_by_model.get(switch.model)
    return version is not None and version >= switch.version
