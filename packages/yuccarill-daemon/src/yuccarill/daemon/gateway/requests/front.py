"""Answer clients, trainers and health checks of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.gateway import directory
from yuccarill.core.gateway.requests import AddressList
from yuccarill.core.gateway.routes import ClientLimits
from yuccarill.core.ids import DataCentreId
from yuccarill.daemon import logs
from yuccarill.platform import ports

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.daemon.gateway.accounts.admission import AccountAdmission
    from yuccarill.daemon.gateway.jobs.trainers import TrainerCallHandler
    from yuccarill.daemon.gateway.requests.forwarding import Forwarder
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.ports import Answerer
    from yuccarill.platform.ports import TrainerCall

log = logs.for_part('front')

# Seconds for which clients may cache the addresses; a stopping instance
# serves for longer.
ADDRESS_VALIDITY = 2.0


class Front:
    """Implement the gateway interface of the platform's server."""

    def __init__(
        self,
        state: GatewayState,
        forwarder: Forwarder,
        trainers: TrainerCallHandler,
        admission: AccountAdmission,
        store_age: Callable[[], float],
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._trainers = trainers
        self._admission = admission
        self._store_age = store_age

    def is_ready(self) -> bool:
        """Return whether this instance should get new connections."""
        if self._state.is_leaving or self._state.route_table is None:
            return False
        return self._state.is_current

    def is_leaving(self) -> bool:
        return self._state.is_leaving

    def limits(self) -> ClientLimits:
        table = self._state.route_table
        return ClientLimits() if table is None else table.limits

    def addresses(self, data_centre: DataCentreId) -> AddressList:
        """Return the addresses that clients may connect to.

        Raises NotRun if no known instance accepts requests.
        """
        locations = {
            record.client_address: directory.InstanceLocation(
                cores=record.cores,
                data_centre=DataCentreId(record.data_centre),
            )
            for record in self._state.serving_instances()
        }
        settings = self._state.settings
        if self.is_ready():
            locations[settings.client_address] = directory.InstanceLocation(
                cores=settings.cores, data_centre=settings.data_centre
            )
        else:
            locations.pop(settings.client_address, None)
        if not locations:
            raise errors.NotRun('No instance is ready.', 1.0)
        validity = min(ADDRESS_VALIDITY, settings.max_address_validity)
        return AddressList(
            addresses=tuple(
                directory.addresses_for_caller(locations, data_centre)
            ),
            validity=validity,
        )

    async def check_key(self, request: ClientRequest) -> None:
        """Check a request's credentials from its head, before its body.

        Raises KeyMissing, KeyUnknown, or NotRun if the key can't be checked.
        """
        await self._forwarder.check_key(request)

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
        if self._state.is_leaving and isinstance(call, ports.ResultsQuery):
            # The reader can wait at another instance.
            call = msgspec.structs.replace(call, wait=0.0)
        return await self._trainers.serve(call, admitted)

    def report_refusal(
        self, request_id: str, error: errors.YuccarillError
    ) -> None:
        """Log why a request got no answer from a target."""
        table = self._state.route_table
        log.info(
            'Request refused or failed.',
            request=request_id,
            code=int(error.code),
            status=error.http_status,
            retry_after=error.retry_after,
            configuration=None if table is None else table.version,
            # Seconds since the last answer of the store.
            store_age=round(self._store_age(), 1),
            cause=error.message,
        )
