"""Read engines' weight versions and send them weight orders over HTTP."""

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


class _StateReply(msgspec.Struct, frozen=True):
    weight_version: WeightVersion
    model: ModelName = ModelName('')
    staged_version: WeightVersion | None = None
    epoch: Epoch = Epoch(0)
    in_flight: int = 0
    queued: int = 0


class OrderResult(NamedTuple):
    """The outcome of an order and the state that the engine then reported."""

    outcome: OrderOutcome
    state: TargetState | None


class EngineWeightsAdapter:
    """Read the state of engines and send them weight orders."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client
        self._decoder = msgspec.json.Decoder(_StateReply)

    async def read(self, address: str) -> TargetState | None:
        """Return an engine's state, or None if reading it fails."""
        try:
            url = f'http://{address}/v1/state'.encode()
            return self._decode(await self._client.read(url, READ_SECONDS))
        except Exception:
            return None

    async def order(
        self, address: str, order: Order, model: ModelName, epoch: Epoch
    ) -> OrderResult:
        """Send a weight order and wait for its outcome."""
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
            state = self._decode(await http.body(response, BODY_SECONDS))
        except Exception:
            return OrderResult(OrderOutcome.SILENT, None)
        outcome = _OUTCOMES_BY_STATUS.get(response.code, OrderOutcome.FAILED)
        return OrderResult(outcome, state)

    def _decode(self, content: bytes) -> TargetState:
        decoded = self._decoder.decode(content)
        return TargetState(
            model=decoded.model,
            weight_version=decoded.weight_version,
            staged_version=decoded.staged_version or NO_VERSION,
            epoch=decoded.epoch,
            in_flight=decoded.in_flight,
            queued=decoded.queued,
            seen_at=Instant(time.monotonic()),
        )
