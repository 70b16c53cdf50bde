"""Stand in for a model engine that streams tokens."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import klein

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

TOKENS_PER_CHUNK = 4
VOCABULARY = 50_000


class EngineStandIn:
    """Make tokens from the prompt and the loaded weight version."""

    app = klein.Klein()

    def __init__(self, name: str, checks_fencing: bool) -> None:
        self._name = name
        self._checks_fencing = checks_fencing
        self._highest_epoch = 0
        self.version = 1
        self.seconds_per_chunk = 0.01
        self.in_flight = 0
        # What was produced, by sample, for comparison with deliveries.
        self.made_by_request: dict[str, list[list[int]]] = {}

    @app.route('/v1/generate', methods=['POST'])
    async def generate(self, request: IRequest) -> None:
        asked = server.read_json(request)
        made = self.made_by_request.setdefault(asked['request_id'], [])
        request.setHeader('Content-Type', 'application/x-ndjson')
        self.in_flight += 1
        try:
            remaining = asked['max_tokens']
            while remaining > 0:
                await server.sleep(self.seconds_per_chunk)
                tokens = self._tokens(asked['prompt'], min(remaining, 4))
                remaining -= len(tokens)
                made.append([self.version, *tokens])
                line = {'weight_version': self.version, 'tokens': tokens}
                request.write(json.dumps(line).encode() + b'\n')
            request.write(b'{"done": true}\n')
        finally:
            self.in_flight -= 1

    @app.route('/v1/orders', methods=['POST'])
    def order(self, request: IRequest) -> bytes:
        asked = server.read_json(request)
        if self._checks_fencing and asked['epoch'] < self._highest_epoch:
            return server.reply_json(request, self._state(), 409)
        self._highest_epoch = max(self._highest_epoch, asked['epoch'])
        self.version = asked['weight_version']
        return server.reply_json(request, self._state())

    @app.route('/v1/state', methods=['GET'])
    def state(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._state())

    @app.route('/admin/made', methods=['GET'])
    def made(self, request: IRequest) -> bytes:
        return server.reply_json(request, self.made_by_request)

    def _state(self) -> dict[str, int | str]:
        return {
            'id': self._name,
            'weight_version': self.version,
            'in_flight': self.in_flight,
        }

    def _tokens(self, prompt: str, count: int) -> list[int]:
        source = random.Random(f'{prompt}/{self.version}')
        return [source.randrange(VOCABULARY) for _ in range(count)]
