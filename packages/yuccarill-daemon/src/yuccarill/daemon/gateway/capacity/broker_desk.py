"""Lend capacity to the instances that ask this one for it."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.capacity import broker
from yuccarill.core.capacity.messages import DemandReport
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.daemon.adapters.small_server import Page
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
# Seconds between two notices to the instances that do not ask.
NOTICE_SECONDS = 0.5


class CapacityNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Tell an instance that a service is congested."""

    service: ServiceName


class BrokerDesk:
    """Keep a broker for each service that instances ask about."""

    def __init__(
        self, state: GatewayState, peers: PeerCalls, clock: Any
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self.brokers_by_service: dict[ServiceName, broker.CapacityBroker] = {}
        self._notified_at: dict[ServiceName, float] = {}

    def lend(self, report: DemandReport) -> CapacityGrant:
        """Answer a report."""
        service = report.service
        lending = self.brokers_by_service.get(service)
        if lending is None:
            lending = broker.CapacityBroker(service, broker.BrokerPolicy())
            self.brokers_by_service[service] = lending
        if not lending.leases_by_instance:
            log.info('Lending capacity.', service=service)
        places = self.places(service)
        grant = lending.lend(
            report,
            places,
            len(self._state.cores_by_name()),
            Instant(self._clock.seconds()),
        )
        meters.CAPACITY_PLACES.labels(service).set(places)
        meters.CAPACITY_LENT.labels(service).set(lending.lent_rate())
        meters.CAPACITY_RATE.labels(service).set(lending.capacity)
        if grant.is_congested:
            self._notify(service, lending)
        return grant

    def places(self, service: ServiceName) -> int:
        """Return the requests that a service's targets run at once."""
        ready = self._state.targets.ready(service)
        return sum(target.slots for target in ready.values())

    def handle(self, request: SmallRequest) -> Page:
        """Answer a report that came over the peer port."""
        if self._state.is_leaving:
            return Page(status=409)
        try:
            report = msgspec.msgpack.decode(request.body, type=DemandReport)
        except msgspec.MsgspecError as error:
            log.warning('Report not read.', cause=str(error))
            return Page(status=400)
        return Page(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(self.lend(report)),
        )

    def _notify(
        self, service: ServiceName, lending: broker.CapacityBroker
    ) -> None:
        now = self._clock.seconds()
        if now < self._notified_at.get(service, 0.0) + NOTICE_SECONDS:
            return
        self._notified_at[service] = now
        known = lending.leases_by_instance.keys()
        for record in self._state.serving_instances():
            if record.instance in known:
                continue
            if record.instance != self._state.settings.instance:
                telling = defer.Deferred.fromCoroutine(
                    self._tell(record, service)
                )
                telling.addErrback(_failed, record.instance)

    async def _tell(
        self, record: InstanceRecord, service: ServiceName
    ) -> None:
        await self._peers.call(
            record,
            'POST',
            NOTICE_PATH,
            NOTICE_ANSWER_SECONDS,
            msgspec.msgpack.encode(CapacityNotice(service=service)),
        )


def _failed(failure: Any, instance: str) -> None:
    failure.trap(peer_call.PeerFailed)
    log.info('Not notified.', peer=instance, cause=str(failure.value))
