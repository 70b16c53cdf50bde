"""Report the demand for congested services to their brokers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.gateway import candidates
from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway.capacity import broker_server
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.capacity.messages import DemandReport
    from yuccarill.core.capacity import service_gate
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.capacity.broker_server import BrokerDesk
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('capacity')

REPORT_SECONDS = 0.25
ANSWER_SECONDS = 0.3
# Seconds for which a broker that did not answer is skipped.
SUSPECT_SECONDS = 2.0
# Instances that may act as the broker of a service.
CANDIDATES = 3


class Reporter:
    """Report demand to the first candidate broker that answers."""

    def __init__(
        self,
        state: GatewayState,
        peers: PeerCalls,
        desk: BrokerDesk,
        on_grant: Callable[[ServiceName], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._peers = peers
        self._desk = desk
        self._on_grant = on_grant
        self._clock = clock
        self._reported_services: set[ServiceName] = set()
        self._suspected_until: dict[str, float] = {}

    def start(
        self, service: ServiceName, gate: service_gate.ServiceGate
    ) -> None:
        """Report demand until the congestion ends."""
        if service in self._reported_services:
            return
        self._reported_services.add(service)
        log.info('Service is congested.', service=service)
        # Jitter: all instances detect congestion simultaneously.
        first = self._state.generator.uniform(0.0, REPORT_SECONDS)
        self._clock.callLater(first, self._report, service, gate)

    def broker_of(
        self, service: ServiceName, gate: service_gate.ServiceGate
    ) -> str | None:
        """Return the current broker of a service, none without a grant."""
        choice = self._choose_broker(service)
        if choice is None or not gate.has_grant(self._now()):
            return None
        return choice[0]

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def _report(
        self, service: ServiceName, gate: service_gate.ServiceGate
    ) -> None:
        report = gate.report(self._now())
        if report is None:
            self._reported_services.discard(service)
            log.info('Service is no longer congested.', service=service)
            return
        self._clock.callLater(REPORT_SECONDS, self._report, service, gate)
        sending = defer.Deferred.fromCoroutine(self._send_report(gate, report))
        sending.addErrback(_log_failure)

    async def _send_report(
        self, gate: service_gate.ServiceGate, report: DemandReport
    ) -> None:
        sent_at = self._now()
        choice = self._choose_broker(report.service)
        if choice is None:
            return
        name, rank = choice
        report = msgspec.structs.replace(report, passed_over=rank)
        if name == self._state.settings.instance:
            grant = self._desk.lend(report)
        else:
            peer_grant = await self._send_to_peer(name, report)
            if peer_grant is None:
                return
            grant = peer_grant
        gate.apply_grant(grant, sent_at)
        self._on_grant(report.service)

    async def _send_to_peer(
        self, name: str, report: DemandReport
    ) -> CapacityGrant | None:
        for record in self._state.serving_instances():
            if record.instance == name:
                break
        else:
            return None
        try:
            return await self._peers.call_decoded(
                record,
                'POST',
                broker_server.REPORT_PATH,
                ANSWER_SECONDS,
                CapacityGrant,
                report,
            )
        except peer_call.PeerFailed as error:
            now = self._clock.seconds()
            self._suspected_until[name] = now + SUSPECT_SECONDS
            log.info(
                'Broker did not answer.',
                service=report.service,
                peer=name,
                cause=str(error),
            )
            return None

    def _choose_broker(self, service: ServiceName) -> tuple[str, int] | None:
        """Return the broker to ask and its rank among the candidates."""
        ordered = candidates.ordered(
            self._state.cores_by_name(), f'capacity {service}'
        )
        now = self._clock.seconds()
        for rank, name in enumerate(ordered[:CANDIDATES]):
            if self._suspected_until.get(name, 0.0) <= now:
                return name, rank
        return None


def _log_failure(failure: Any) -> None:
    if not failure.check(defer.CancelledError):
        log.error('Demand report failed.', cause=failure.getTraceback())
