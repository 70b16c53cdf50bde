"""Lend capacity to the instances that report demand to this one."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.capacity import broker
from yuccarill.core.capacity.messages import DemandReport
from yuccarill.core import decoding
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.capacity.messages import CapacityGrant
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('capacity')

REPORT_PATH = '/capacity/reports'
NOTICE_PATH = '/capacity/notices'
OVERVIEW_PATH = '/capacity/services'
PATHS = frozenset({REPORT_PATH, NOTICE_PATH, OVERVIEW_PATH})
NOTICE_ANSWER_SECONDS = 0.3
# Minimum interval between notices for one service.
NOTICE_SECONDS = 0.5


class CapacityNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Notify an instance that a service is congested."""

    service: ServiceName


class BrokerDesk:
    """Keep a capacity broker for each reported service."""

    def __init__(
        self, state: GatewayState, peers: PeerCalls, clock: Any
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self.brokers_by_service: dict[ServiceName, broker.CapacityBroker] = {}
        self._notified_at: dict[ServiceName, float] = {}

    def lend(self, report: DemandReport) -> CapacityGrant:
        """Return the grant for a demand report."""
        service = report.service
        lender = self.brokers_by_service.get(service)
        if lender is None:
            lender = broker.CapacityBroker(service, broker.BrokerPolicy())
            self.brokers_by_service[service] = lender
        if not lender.leases_by_instance:
            log.info('Lending capacity.', service=service)
        slots = self.slots(service)
        grant = lender.lend(
            report,
            slots,
            len(self._state.cores_by_name()),
            Instant(self._clock.seconds()),
        )
        meters.CAPACITY_PLACES.labels(service).set(slots)
        meters.CAPACITY_LENT.labels(service).set(lender.lent_rate())
        meters.CAPACITY_RATE.labels(service).set(lender.capacity)
        if grant.is_congested:
            self._notify(service, lender)
        return grant

    def slots(self, service: ServiceName) -> int:
        """Return how many requests a service's targets run concurrently."""
        ready = self._state.targets.ready(service)
        return sum(target.slots for target in ready.values())

    def handle(self, request: SmallRequest) -> SmallResponse:
        """Answer a demand report from the peer port."""
        if self._state.is_leaving:
            return SmallResponse(status=409)
        try:
            report = decoding.from_msgpack(request.body, DemandReport)
        except msgspec.MsgspecError as error:
            log.warning('Demand report is malformed.', cause=str(error))
            return SmallResponse(status=400)
        return SmallResponse(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(self.lend(report)),
        )

    def _notify(
        self, service: ServiceName, lender: broker.CapacityBroker
    ) -> None:
        now = self._clock.seconds()
        if now < self._notified_at.get(service, 0.0) + NOTICE_SECONDS:
            return
        self._notified_at[service] = now
        reporting = lender.leases_by_instance.keys()
        for record in self._state.serving_instances():
            if record.instance in reporting:
                continue
            if record.instance != self._state.settings.instance:
                sending = defer.Deferred.fromCoroutine(
                    self._send_notice(record, service)
                )
                sending.addErrback(_log_notice_failure, record.instance)

    async def _send_notice(
        self, record: InstanceRecord, service: ServiceName
    ) -> None:
        await self._peers.call(
            record,
            'POST',
            NOTICE_PATH,
            NOTICE_ANSWER_SECONDS,
            msgspec.msgpack.encode(CapacityNotice(service=service)),
        )


def _log_notice_failure(failure: Any, instance: str) -> None:
    failure.trap(peer_call.PeerFailed)
    log.info(
        'Congestion notice failed.', peer=instance, cause=str(failure.value)
    )
