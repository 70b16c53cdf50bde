"""Create the scalers of services whose duty this instance holds."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.gateway import partitions
from yuccarill.core.scaling import scaling as scaling_module
from yuccarill.daemon.gateway.options import TargetOrderMode
from yuccarill.daemon.gateway.scaling import scaler
from yuccarill.platform import target_orders

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.state import GatewayState


class ScalerFactory:
    """Create scalers from the dependencies that all of them share."""

    def __init__(
        self,
        mode: TargetOrderMode,
        state: GatewayState,
        links: Connections,
        clock: Any,
    ) -> None:
        self._mode = mode
        self._state = state
        self._links = links
        self._clock = clock

    def scaler(
        self, duty: Duty, load: Callable[[], tuple[int, int]]
    ) -> scaler.Scaler | None:
        """Return a scaler, none if no targets are ordered for the service."""
        address = self._state.settings.orders_address
        if self._mode is TargetOrderMode.OFF or address is None:
            return None
        if partitions.service_of_part(duty.service) != duty.service:
            # The holder of one part does not know the load of the others.
            return None
        return scaler.Scaler(
            duty,
            self._state,
            target_orders.TargetOrders(self._links, address, self._clock),
            load,
            scaling_module.ScalingPolicy(),
            self._clock,
            uses_revocable=self._mode is TargetOrderMode.MIXED,
        )
