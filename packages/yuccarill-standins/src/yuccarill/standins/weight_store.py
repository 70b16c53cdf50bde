"""Stand-in for the platform's weight store."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.standins import faults
from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

WINDOW_SECONDS = 1.0
FIRST_VERSION = 1


class WeightStoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Limits, faults and delays of the weight store."""

    # Calls above this rate are answered with status 429.
    max_calls_per_second: int = 100
    # Concurrent downloads above this number are answered with status 429.
    max_downloads: int = 8
    bytes_per_second: float = 1e9
    seconds_per_call: float = 0.0
    is_down: bool = False


class WeightStoreStandIn:
    """Serve each model's versions with their sizes in bytes.

    A model without published versions has only version 1.
    """

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultControl(WeightStoreFaults())
        self._bytes_by_version: dict[str, dict[int, int]] = (
            collections.defaultdict(lambda: {FIRST_VERSION: 1_000_000})
        )
        self._call_times: collections.deque[float] = collections.deque()
        self._active_downloads = 0
        self._calls: collections.Counter[str] = collections.Counter()

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def configure_faults(self, request: IRequest) -> bytes:
        return self._faults.handle_request(request)

    @app.route('/admin/calls', methods=['GET'])
    def show_calls(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._calls)

    @app.route('/v1/models/<model>/newest', methods=['GET'])
    async def newest(self, request: IRequest, model: str) -> bytes:
        refusal = await self._refusal(request)
        if refusal is not None:
            return refusal
        newest = max(self._bytes_by_version[model])
        return server.reply_json(request, newest)

    @app.route('/v1/models/<model>/newest', methods=['PUT'])
    def publish(self, request: IRequest, model: str) -> bytes:
        """Add a version, given as a number or as {version, bytes}."""
        payload = server.read_json(request)
        if isinstance(payload, int):
            payload = {'version': payload, 'bytes': 1_000_000}
        self._bytes_by_version[model][payload['version']] = payload['bytes']
        return server.reply_json(request, payload['version'])

    @app.route('/v1/models/<model>/versions', methods=['GET'])
    async def versions(self, request: IRequest, model: str) -> bytes:
        refusal = await self._refusal(request)
        if refusal is not None:
            return refusal
        sizes = self._bytes_by_version[model]
        listed = [{'version': v, 'bytes': sizes[v]} for v in sorted(sizes)]
        return server.reply_json(request, listed)

    @app.route(
        '/v1/models/<model>/versions/<int:version>/content', methods=['GET']
    )
    async def download(
        self, request: IRequest, model: str, version: int
    ) -> bytes:
        """Wait as long as a download takes; reply with the size only."""
        refusal = await self._refusal(request)
        if refusal is not None:
            return refusal
        size = self._bytes_by_version[model].get(version)
        if size is None:
            return server.reply_json(request, {'error': 'unknown'}, 404)
        if self._active_downloads >= self._faults.current.max_downloads:
            return self._reply_limited(request)
        self._active_downloads += 1
        try:
            await server.sleep(size / self._faults.current.bytes_per_second)
        finally:
            self._active_downloads -= 1
        return server.reply_json(request, {'bytes': size})

    async def _refusal(self, request: IRequest) -> bytes | None:
        self._calls['read'] += 1
        await server.sleep(self._faults.current.seconds_per_call)
        if self._faults.current.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        now = time.monotonic()
        while self._call_times and self._call_times[0] < now - WINDOW_SECONDS:
            self._call_times.popleft()
        if len(self._call_times) >= self._faults.current.max_calls_per_second:
            return self._reply_limited(request)
        self._call_times.append(now)
        return None

    def _reply_limited(self, request: IRequest) -> bytes:
        self._calls['limited'] += 1
        request.setHeader('Retry-After', '1')
        return server.reply_json(request, {'error': 'rate limit'}, 429)
