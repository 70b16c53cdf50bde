"""Read engines' weights and order changes of them over HTTP."""

from __future__ import annotations

import time
from typing import NamedTuple

import msgspec

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import WeightVersion
from yuccarill.core.weights import engine_orders
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import OrderOutcome
from yuccarill.core.weights.orders import TargetState
from yuccarill.daemon.adapters import http

READ_SECONDS = 2.0
BODY_SECONDS = 1.0

_OUTCOMES_BY_STATUS = {
    200: OrderOutcome.DONE,
    409: OrderOutcome.REFUSED,
    500: OrderOutcome.FAILED,
}


class _State(msgspec.Struct, frozen=True):
    weight_version: WeightVersion
    model: ModelName = ModelName('')
    staged_version: WeightVersion | None = None
    epoch: Epoch = Epoch(0)
    in_flight: int = 0
    queued: int = 0


class Ended(NamedTuple):
    """Hold how an order ended and what the engine then said of itself."""

    outcome: OrderOutcome
    state: TargetState | None


class EngineWeightsAdapter:
    """Speak to engines about their weights."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client
        self._decoder = msgspec.json.Decoder(_State)

    async def read(self, address: str) -> TargetState | None:
        """Return what an engine says of itself, None for no answer."""
        try:
            url = f'http://{address}/v1/state'.encode()
            return self._state(await self._client.read(url, READ_SECONDS))
        except Exception:
            return None

    async def order(
        self, address: str, order: Order, model: ModelName, epoch: Epoch
    ) -> Ended:
        """Send an order and wait until the engine has carried it out."""
        body = {
            'kind': order.kind.value,
            'model': model,
            'weight_version': order.version,
            'epoch': epoch,
        }
        try:
            response = await self._client.request(
                'POST',
                f'http://{address}/v1/orders',
                seconds=engine_orders.ORDER_SECONDS,
                data=msgspec.json.encode(body),
            )
            state = self._state(await http.body(response, BODY_SECONDS))
        except Exception:
            return Ended(OrderOutcome.SILENT, None)
        outcome = _OUTCOMES_BY_STATUS.get(response.code, OrderOutcome.FAILED)
        return Ended(outcome, state)

    def _state(self, content: bytes) -> TargetState:
        said = self._decoder.decode(content)
        return TargetState(
            model=said.model,
            weight_version=said.weight_version,
            staged_version=said.staged_version or NO_VERSION,
            epoch=said.epoch,
            in_flight=said.in_flight,
            queued=said.queued,
            seen_at=Instant(time.monotonic()),
        )
