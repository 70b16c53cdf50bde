"""Stand-in for a model engine that streams tokens."""

from __future__ import annotations

import json
import time
from typing import Any
from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.standins import batch
from yuccarill.standins import engine_weights
from yuccarill.standins import faults
from yuccarill.standins import prefix_cache
from yuccarill.standins import server
from yuccarill.standins import tokens as tokens_module

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

TOKENS_PER_CHUNK = 4


class GenerateRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Request for a stream of tokens."""

    request_id: str
    prompt: str
    seed: int = 0
    # Length of the whole answer, resumed tokens included.
    max_tokens: int = 16
    # The lowest value is served first.
    priority: int = 0
    # Tokens generated in an earlier run; only later tokens are sent.
    resume_tokens: list[int] = []


class EngineFaults(engine_weights.WeightFaults, forbid_unknown_fields=True):
    """Limits, faults and delays of an engine."""

    slots: int = 8
    seconds_per_chunk: float = 0.01
    # Delay of the first token if the prompt is not cached.
    prefill_seconds: float = 0.01
    cached_prompts: int = 64
    cache_events_lag: float = 0.5
    # Drops events whose number is a multiple of this value; 0 drops none.
    cache_events_gap: int = 0
    load_lag: float = 0.2
    # Number of next streams that are cut after their first chunk.
    cut_streams: int = 0
    # Generations and orders make no progress while this is set.
    is_frozen: bool = False
    # Connections are aborted, also those with a stream in progress.
    is_crashed: bool = False


class EngineStandIn:
    """Generate tokens from prompt, seed, weight version and position."""

    app = klein.Klein()

    def __init__(self, name: str, checks_fencing: bool, model: str) -> None:
        self._name = name
        self._model = model
        self._faults = faults.FaultControl(EngineFaults())
        self._batch = batch.Batch()
        self._cache = prefix_cache.PrefixCache()
        self._weights = engine_weights.EngineWeights(
            checks_fencing, self._faults, self._cache.clear
        )
        self._runs: list[dict[str, Any]] = []
        # Generated chunks by request id, for comparison with deliveries.
        self._chunks_by_request: dict[str, list[list[int]]] = {}

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def configure_faults(self, request: IRequest) -> bytes:
        return self._faults.handle_request(request)

    @app.route('/admin/runs', methods=['GET'])
    def show_runs(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._runs)

    @app.route('/admin/made', methods=['GET'])
    def show_made(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._chunks_by_request)

    @app.route('/admin/orders', methods=['GET'])
    def show_orders(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._weights.orders)

    @app.route('/v1/state', methods=['GET'])
    async def state(self, request: IRequest) -> bytes:
        if self._abort_if_crashed(request):
            return b''
        await self._wait_while_frozen()
        return self._reply(request, self._state())

    @app.route('/v1/cache-events', methods=['GET'])
    def cache_events(self, request: IRequest) -> bytes:
        after = int(request.args.get(b'after', [b'0'])[0])
        events = self._cache.events(
            after, self._faults.current.cache_events_lag
        )
        return self._reply(request, events)

    @app.route('/v1/orders', methods=['POST'])
    async def order(self, request: IRequest) -> bytes:
        if self._abort_if_crashed(request):
            return b''
        order = server.read_json(request)
        await self._wait_while_frozen()
        outcome = await self._weights.execute_order(
            order.get('kind', 'switch'),
            order['weight_version'],
            order['epoch'],
        )
        return self._reply(request, self._state(), outcome.value)

    @app.route('/v1/generate', methods=['POST'])
    async def generate(self, request: IRequest) -> bytes:
        if self._abort_if_crashed(request):
            return b''
        try:
            query = msgspec.convert(server.read_json(request), GenerateRequest)
        except msgspec.ValidationError as error:
            return self._reply(request, {'error': str(error)}, 400)
        run = {
            'request_id': query.request_id,
            'prompt': query.prompt,
            'seed': query.seed,
            'received_at': time.time(),
            'resumed': len(query.resume_tokens),
            'outcome': 'running',
        }
        self._runs.append(run)
        is_lost = server.watch_for_disconnect(request)
        await self._batch.acquire(query.priority, self._faults.current.slots)
        try:
            run['outcome'] = 'cancelled'
            if not is_lost() and await self._stream(request, query, is_lost):
                run['outcome'] = 'done'
        finally:
            self._batch.release()
        if not is_lost():
            return b'{"done": true}\n'
        return b''

    async def _stream(
        self, request: IRequest, query: GenerateRequest, is_lost: Any
    ) -> bool:
        """Write the chunks of an answer; return whether it is complete."""
        current = self._faults.current
        chunks = self._chunks_by_request.setdefault(query.request_id, [])
        request.setHeader('Content-Type', 'application/x-ndjson')
        self._set_load(request)
        if not self._cache.look_up(
            query.prompt, current.cached_prompts, current.cache_events_gap
        ):
            await server.sleep(current.prefill_seconds)
        position = len(query.resume_tokens)
        while position < query.max_tokens:
            await server.sleep(current.seconds_per_chunk)
            await self._wait_while_frozen()
            await self._weights.wait_for_swap()
            if is_lost() or self._abort_if_crashed(request):
                return False
            version = self._weights.version
            end = min(position + TOKENS_PER_CHUNK, query.max_tokens)
            tokens = tokens_module.generate(
                query.prompt, query.seed, version, range(position, end)
            )
            position = end
            chunks.append([version, *tokens])
            line = {'weight_version': version, 'tokens': tokens}
            request.write(json.dumps(line).encode() + b'\n')
            if self._faults.consume('cut_streams'):
                server.abort_connection(request)
                return False
        return True

    def _abort_if_crashed(self, request: IRequest) -> bool:
        if self._faults.current.is_crashed:
            server.abort_connection(request)
        return self._faults.current.is_crashed

    async def _wait_while_frozen(self) -> None:
        await server.wait_until(lambda: not self._faults.current.is_frozen)

    def _reply(
        self, request: IRequest, value: Any, status: int = 200
    ) -> bytes:
        self._set_load(request)
        return server.reply_json(request, value, status)

    def _set_load(self, request: IRequest) -> None:
        load = self._batch.load_before(self._faults.current.load_lag)
        request.setHeader('Yuccarill-Load', load)

    def _state(self) -> dict[str, Any]:
        return {
            'id': self._name,
            'model': self._model,
            'weight_version': self._weights.version,
            'staged_version': self._weights.staged_version,
            'epoch': self._weights.epoch,
            'in_flight': self._batch.in_flight,
            'queued': self._batch.queued,
        }
