"""Admit requests within the capacity lent by the services' brokers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.capacity.gate import GateVerdict
from yuccarill.core.capacity import gate_policy
from yuccarill.core.capacity.overview import ServiceOverview
from yuccarill.core.capacity import service_gate
from yuccarill.core import decoding
from yuccarill.core import errors
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway.capacity import broker_server
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.capacity import reporting
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.capacity.gate import CapacityRequest
    from yuccarill.core.capacity.gate import GateDecision
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('capacity')


class CapacityControl:
    """Keep an admission gate for each service."""

    def __init__(
        self, state: GatewayState, peers: PeerCalls, clock: Any
    ) -> None:
        self._state = state
        self._clock = clock
        self.desk = broker_server.BrokerDesk(state, peers, clock)
        self._reporter = reporting.Reporter(
            state, peers, self.desk, self._admit_waiting, clock
        )
        self.gates_by_service: dict[ServiceName, service_gate.ServiceGate] = {}
        self.waiting_by_service: dict[
            ServiceName, dict[CapacityRequest, defer.Deferred[GateDecision]]
        ] = {}
        self._timers_by_service: dict[ServiceName, Any] = {}

    async def acquire(
        self, service: ServiceName, request: CapacityRequest
    ) -> port.SendPermit:
        """Wait until a request may be sent; raise Overloaded if refused."""
        if self._has_engines(service):
            # The holder of the service's duty assigns the engines' slots.
            return port.UNLIMITED
        gate = self._gate(service)
        gate.congestion.slots = self.desk.slots(service)
        decision = gate.offer(request, self._now())
        if decision.answer is GateVerdict.WAIT:
            decision = await self._wait(service, gate, request)
        if decision.answer is GateVerdict.REFUSE:
            raise self._refusal(service, request, decision)
        return _GatePermit(gate, service, request, self._clock)

    def record_start(self, service: ServiceName) -> None:
        self._gate(service).record_start(self._now())

    def record_answer(self, service: ServiceName, seconds: float) -> None:
        self._gate(service).record_answer(seconds, self._now())
        self._report_if_congested(service)

    def record_refusal(self, service: ServiceName) -> None:
        self._gate(service).record_refusal(self._now())
        self._report_if_congested(service)

    def record_abandoned(self, service: ServiceName) -> None:
        self._gate(service).record_abandoned(self._now())

    def handles_path(self, path: str) -> bool:
        """Return whether this class serves a path of the peer port."""
        return path in broker_server.PATHS

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Answer a request from the peer port."""
        match request.path:
            case broker_server.REPORT_PATH:
                return self.desk.handle(request)
            case broker_server.NOTICE_PATH:
                return self._handle_notice(request)
            case broker_server.OVERVIEW_PATH:
                overviews = [self._overview(each) for each in self._services()]
                return SmallResponse(
                    status=200, body=msgspec.json.encode(overviews)
                )
            case _:
                return SmallResponse(status=404)

    def _services(self) -> list[ServiceName]:
        found = self.gates_by_service.keys() | self.desk.brokers_by_service
        return sorted(s for s in found if not self._has_engines(s))

    def _overview(self, service: ServiceName) -> ServiceOverview:
        gate = self._gate(service)
        now = self._now()
        lender = self.desk.brokers_by_service.get(service)
        return ServiceOverview(
            service=service,
            is_congested=gate.is_congested(now),
            broker=self._reporter.broker_of(service, gate),
            places=self.desk.slots(service),
            in_flight=gate.congestion.in_flight,
            service_seconds=gate.congestion.service_seconds,
            classes=gate.overview(now),
            capacity=None if lender is None else lender.capacity,
            lent=None if lender is None else lender.lent_rate(),
            fleet=() if lender is None else lender.overview(),
        )

    def _handle_notice(self, request: SmallRequest) -> SmallResponse:
        try:
            notice = decoding.from_msgpack(
                request.body, broker_server.CapacityNotice
            )
        except msgspec.MsgspecError as error:
            log.warning('Congestion notice is malformed.', cause=str(error))
            return SmallResponse(status=400)
        self._gate(notice.service).congestion.record_notice(self._now())
        self._report_if_congested(notice.service)
        return SmallResponse(status=200)

    def _gate(self, service: ServiceName) -> service_gate.ServiceGate:
        gate = self.gates_by_service.get(service)
        if gate is None:
            gate = service_gate.ServiceGate(
                service,
                InstanceId(self._state.settings.instance),
                gate_policy.GatePolicy(),
                self._state.generator,
                self._now(),
            )
            self.gates_by_service[service] = gate
        return gate

    def _has_engines(self, service: ServiceName) -> bool:
        table = self._state.route_table
        known = table and table.services_by_name.get(service)
        return bool(known and known.engine is not None)

    def _report_if_congested(self, service: ServiceName) -> None:
        gate = self._gate(service)
        if gate.is_congested(self._now()) and not self._has_engines(service):
            self._reporter.start(service, gate)

    async def _wait(
        self,
        service: ServiceName,
        gate: service_gate.ServiceGate,
        request: CapacityRequest,
    ) -> GateDecision:
        waiting = self.waiting_by_service.setdefault(service, {})
        decided: defer.Deferred[GateDecision] = defer.Deferred()
        waiting[request] = decided
        self._set_timer(service, gate)
        meters.CAPACITY_WAITING.labels(service).set(len(waiting))
        try:
            return await decided
        finally:
            # The request still waits if its caller was cancelled.
            if waiting.pop(request, None) is not None:
                gate.withdraw(request)
            meters.CAPACITY_WAITING.labels(service).set(len(waiting))

    def _set_timer(
        self, service: ServiceName, gate: service_gate.ServiceGate
    ) -> None:
        timer = self._timers_by_service.pop(service, None)
        if timer is not None and timer.active():
            timer.cancel()
        at = gate.next_wakeup(self._now())
        if at is not None:
            self._timers_by_service[service] = self._clock.callLater(
                max(0.0, at - self._now()), self._admit_waiting, service
            )

    def _admit_waiting(self, service: ServiceName) -> None:
        gate = self._gate(service)
        waiting = self.waiting_by_service.get(service, {})
        for request, decision in gate.admit(self._now()):
            decided = waiting.pop(request, None)
            if decided is not None:
                decided.callback(decision)
        self._set_timer(service, gate)

    def _refusal(
        self,
        service: ServiceName,
        request: CapacityRequest,
        decision: GateDecision,
    ) -> errors.Overloaded:
        return _overloaded(
            service,
            request,
            decision.cause,
            decision.retry_after,
            decision.predicted_wait,
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


class _GatePermit:
    """Check one request's retries and hedges with its gate."""

    def __init__(
        self,
        gate: service_gate.ServiceGate,
        service: ServiceName,
        request: CapacityRequest,
        clock: Any,
    ) -> None:
        self._gate = gate
        self._service = service
        self._request = request
        self._clock = clock

    def may_retry(self) -> bool:
        return self._gate.take_retry(self._request, self._now())

    def may_hedge(self) -> bool:
        return self._gate.take_hedge(self._request, self._now())

    def refusal(self, cause: str) -> errors.NotRun:
        now = self._now()
        if not self._gate.is_congested(now):
            return port.UNLIMITED.refusal(cause)
        retry_after = self._gate.retry_after(self._request, now)
        return _overloaded(
            self._service, self._request, cause, retry_after, 0.0
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


def _overloaded(
    service: ServiceName,
    request: CapacityRequest,
    cause: str,
    retry_after: float,
    wait: float,
) -> errors.Overloaded:
    priority = request.demand_class.priority
    meters.CAPACITY_REFUSED.labels(service, str(priority)).inc()
    log.info(
        'Request refused.',
        request=request.id,
        service=service,
        account=request.demand_class.account,
        priority=priority,
        cause=cause,
        predicted_wait_ms=_ms(wait),
        wanted_in_ms=_ms(request.wanted_by - request.arrived_at),
        retry_after_ms=_ms(retry_after),
    )
    return errors.Overloaded(f'The request was not run: {cause}.', retry_after)


def _ms(seconds: float) -> int | None:
    # The wait of a class without a grant is infinite.
    return None if seconds == float('inf') else round(seconds * 1000.0)
