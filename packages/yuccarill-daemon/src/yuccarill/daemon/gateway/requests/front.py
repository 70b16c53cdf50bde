"""Answer clients, trainers and the platform's checks of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.gateway import directory
from yuccarill.core.gateway.requests import AddressList
from yuccarill.core.gateway.routes import ClientLimits
from yuccarill.core.ids import DataCentreId
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.daemon.gateway.accounts.admission import AccountAdmission
    from yuccarill.daemon.gateway.jobs.trainers import TrainerDesk
    from yuccarill.daemon.gateway.requests.forwarding import Forwarder
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.ports import Answerer
    from yuccarill.platform.ports import TrainerCall

log = logs.for_part('front')

# Seconds for which clients may keep the addresses. A stopping instance
# serves on for longer; a killed one is left out within its lease.
ADDRESS_VALIDITY = 2.0


class Front:
    """Be the gateway that the platform's server asks."""

    def __init__(
        self,
        state: GatewayState,
        forwarder: Forwarder,
        trainers: TrainerDesk,
        admission: AccountAdmission,
        store_age: Callable[[], float],
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._trainers = trainers
        self._admission = admission
        self._store_age = store_age

    def is_ready(self) -> bool:
        """Tell whether this instance should get new connections."""
        if self._state.is_leaving or self._state.table is None:
            return False
        return self._state.is_current

    def is_leaving(self) -> bool:
        return self._state.is_leaving

    def limits(self) -> ClientLimits:
        table = self._state.table
        return ClientLimits() if table is None else table.limits

    def addresses(self, data_centre: DataCentreId) -> AddressList:
        """Return where clients may connect.

        Raises NotRun if no instance is known that takes requests.
        """
        places_by_address = {
            record.client_address: directory.InstanceLocation(
                cores=record.cores,
                data_centre=DataCentreId(record.data_centre),
            )
            for record in self._state.serving_instances()
        }
        me = self._state.settings
        if self.is_ready():
            places_by_address[me.client_address] = directory.InstanceLocation(
                cores=me.cores, data_centre=me.data_centre
            )
        else:
            places_by_address.pop(me.client_address, None)
        if not places_by_address:
            raise errors.NotRun('No instance is ready.', 1.0)
        validity = min(ADDRESS_VALIDITY, me.max_address_validity)
        return AddressList(
            addresses=tuple(
                directory.addresses_for_caller(places_by_address, data_centre)
            ),
            validity=validity,
        )

    async def judge(self, request: ClientRequest) -> None:
        """Refuse a request by its head, while its body comes.

        Raises KeyMissing, KeyUnknown, or NotRun where that can't be told.
        """
        await self._forwarder.judge(request)

    async def forward(
        self, request: ClientRequest, answerer: Answerer
    ) -> None:
        """Serve one request by its route."""
        await self._forwarder.forward(request, answerer)

    async def trainer_call(
        self, call: TrainerCall, request: ClientRequest
    ) -> TargetAnswer:
        """Serve a trainer's call about one of its jobs."""
        admitted = await self._admission.admit_job_call(request)
        return await self._trainers.serve(call, admitted)

    def refused(self, request_id: str, error: errors.YuccarillError) -> None:
        """Log why a request got no answer of a target."""
        table = self._state.table
        log.info(
            'Refused or failed.',
            request=request_id,
            code=int(error.code),
            status=error.http_status,
            retry_after=error.retry_after,
            configuration=None if table is None else table.version,
            # Seconds since the store was last heard.
            store_age=round(self._store_age(), 1),
            cause=error.message,
        )
