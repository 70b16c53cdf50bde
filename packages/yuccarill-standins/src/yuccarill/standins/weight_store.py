"""Stand in for the platform's weight store."""

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
    """Name the limits and faults of the weight store."""

    # Calls a second past which the store answers 429.
    max_calls_per_second: int = 100
    # Downloads at a time past which the store answers 429.
    max_downloads: int = 8
    bytes_per_second: float = 1e9
    seconds_per_call: float = 0.0
    is_down: bool = False


class WeightStoreStandIn:
    """Keep each model's versions with their sizes in bytes.

    A model that nothing was published for has version 1 alone.
    """

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultSwitch(WeightStoreFaults())
        self._bytes_by_version: dict[str, dict[int, int]] = (
            collections.defaultdict(lambda: {FIRST_VERSION: 1_000_000})
        )
        self._recent: collections.deque[float] = collections.deque()
        self._downloads = 0
        self._calls: collections.Counter[str] = collections.Counter()

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: IRequest) -> bytes:
        return self._faults.answer(request)

    @app.route('/admin/calls', methods=['GET'])
    def calls(self, request: IRequest) -> bytes:
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
        """Take a version, or an object with version and bytes."""
        asked = server.read_json(request)
        if isinstance(asked, int):
            asked = {'version': asked, 'bytes': 1_000_000}
        self._bytes_by_version[model][asked['version']] = asked['bytes']
        return server.reply_json(request, asked['version'])

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
        """Take the time of a download; the content itself is left out."""
        refusal = await self._refusal(request)
        if refusal is not None:
            return refusal
        size = self._bytes_by_version[model].get(version)
        if size is None:
            return server.reply_json(request, {'error': 'unknown'}, 404)
        if self._downloads >= self._faults.now.max_downloads:
            return self._limited(request)
        self._downloads += 1
        try:
            await server.sleep(size / self._faults.now.bytes_per_second)
        finally:
            self._downloads -= 1
        return server.reply_json(request, {'bytes': size})

    async def _refusal(self, request: IRequest) -> bytes | None:
        self._calls['read'] += 1
        await server.sleep(self._faults.now.seconds_per_call)
        if self._faults.now.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        now = time.monotonic()
        while self._recent and self._recent[0] < now - WINDOW_SECONDS:
            self._recent.popleft()
        if len(self._recent) >= self._faults.now.max_calls_per_second:
            return self._limited(request)
        self._recent.append(now)
        return None

    def _limited(self, request: IRequest) -> bytes:
        self._calls['limited'] += 1
        request.setHeader('Retry-After', '1')
        return server.reply_json(request, {'error': 'rate limit'}, 429)
