"""Stand in for a model engine that streams tokens."""

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
    """Ask for tokens."""

    request_id: str
    prompt: str
    seed: int = 0
    # Length of the whole answer, with the resumed tokens in it.
    max_tokens: int = 16
    # The lowest value goes first.
    priority: int = 0
    # Tokens of this answer that are made already; only later ones are sent.
    resume_tokens: list[int] = []


class EngineFaults(engine_weights.WeightFaults, forbid_unknown_fields=True):
    """Name the limits and faults of an engine."""

    slots: int = 8
    seconds_per_chunk: float = 0.01
    # Seconds before the first token if the prompt is not cached.
    prefill_seconds: float = 0.01
    cached_prompts: int = 64
    cache_events_lag: float = 0.5
    # Leave out each event whose number this divides; 0 for none.
    cache_events_gap: int = 0
    load_lag: float = 0.2
    # The next generations break off after their first chunk.
    cut_streams: int = 0
    # Generations and orders make no progress until this ends.
    is_frozen: bool = False
    # Every connection breaks off, also those that carry an answer.
    is_crashed: bool = False


class EngineStandIn:
    """Make tokens from prompt, seed, weight version and position."""

    app = klein.Klein()

    def __init__(self, name: str, checks_fencing: bool, model: str) -> None:
        self._name = name
        self._model = model
        self._faults = faults.FaultSwitch(EngineFaults())
        self._batch = batch.Batch()
        self._cache = prefix_cache.PrefixCache()
        self._weights = engine_weights.EngineWeights(
            checks_fencing, self._faults, self._cache.clear
        )
        self._runs: list[dict[str, Any]] = []
        # What was produced, by request, for comparison with deliveries.
        self._made_by_request: dict[str, list[list[int]]] = {}

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: IRequest) -> bytes:
        return self._faults.answer(request)

    @app.route('/admin/runs', methods=['GET'])
    def show_runs(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._runs)

    @app.route('/admin/made', methods=['GET'])
    def show_made(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._made_by_request)

    @app.route('/admin/orders', methods=['GET'])
    def show_orders(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._weights.orders)

    @app.route('/v1/state', methods=['GET'])
    async def state(self, request: IRequest) -> bytes:
        if self._is_cut(request):
            return b''
        await self._thaw()
        return self._reply(request, self._state())

    @app.route('/v1/cache-events', methods=['GET'])
    def cache_events(self, request: IRequest) -> bytes:
        after = int(request.args.get(b'after', [b'0'])[0])
        events = self._cache.events(after, self._faults.now.cache_events_lag)
        return self._reply(request, events)

    @app.route('/v1/orders', methods=['POST'])
    async def order(self, request: IRequest) -> bytes:
        if self._is_cut(request):
            return b''
        asked = server.read_json(request)
        await self._thaw()
        outcome = await self._weights.order(
            asked.get('kind', 'switch'),
            asked['weight_version'],
            asked['epoch'],
        )
        return self._reply(request, self._state(), outcome.value)

    @app.route('/v1/generate', methods=['POST'])
    async def generate(self, request: IRequest) -> bytes:
        if self._is_cut(request):
            return b''
        try:
            asked = msgspec.convert(server.read_json(request), GenerateRequest)
        except msgspec.ValidationError as error:
            return self._reply(request, {'error': str(error)}, 400)
        run = {
            'request_id': asked.request_id,
            'prompt': asked.prompt,
            'seed': asked.seed,
            'received_at': time.time(),
            'resumed': len(asked.resume_tokens),
            'outcome': 'running',
        }
        self._runs.append(run)
        is_lost = server.watch_for_loss(request)
        await self._batch.enter(asked.priority, self._faults.now.slots)
        try:
            run['outcome'] = 'cancelled'
            if not is_lost() and await self._stream(request, asked, is_lost):
                run['outcome'] = 'done'
        finally:
            self._batch.leave()
        if not is_lost():
            return b'{"done": true}\n'
        return b''

    async def _stream(
        self, request: IRequest, asked: GenerateRequest, is_lost: Any
    ) -> bool:
        """Write an answer's chunks; tell whether it became whole."""
        now = self._faults.now
        made = self._made_by_request.setdefault(asked.request_id, [])
        request.setHeader('Content-Type', 'application/x-ndjson')
        self._set_load(request)
        if not self._cache.use(
            asked.prompt, now.cached_prompts, now.cache_events_gap
        ):
            await server.sleep(now.prefill_seconds)
        position = len(asked.resume_tokens)
        while position < asked.max_tokens:
            await server.sleep(now.seconds_per_chunk)
            await self._thaw()
            await self._weights.ready()
            if is_lost() or self._is_cut(request):
                return False
            version = self._weights.version
            end = min(position + TOKENS_PER_CHUNK, asked.max_tokens)
            tokens = tokens_module.make(
                asked.prompt, asked.seed, version, range(position, end)
            )
            position = end
            made.append([version, *tokens])
            line = {'weight_version': version, 'tokens': tokens}
            request.write(json.dumps(line).encode() + b'\n')
            if self._faults.take('cut_streams'):
                server.cut(request)
                return False
        return True

    def _is_cut(self, request: IRequest) -> bool:
        if self._faults.now.is_crashed:
            server.cut(request)
        return self._faults.now.is_crashed

    async def _thaw(self) -> None:
        await server.until(lambda: not self._faults.now.is_frozen)

    def _reply(
        self, request: IRequest, value: Any, status: int = 200
    ) -> bytes:
        self._set_load(request)
        return server.reply_json(request, value, status)

    def _set_load(self, request: IRequest) -> None:
        load = self._batch.load_before(self._faults.now.load_lag)
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
