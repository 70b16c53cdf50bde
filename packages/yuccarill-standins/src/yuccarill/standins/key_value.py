"""Stand in for the platform's key-value service."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import klein
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_SECONDS = 30.0


class KeyValueStandIn:
    """Offer compare-and-swap and watches over HTTP."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._values_by_key: dict[str, tuple[int, bytes]] = {}
        self._versions = itertools.count(1)
        self._watchers_by_key: dict[str, list[defer.Deferred[None]]] = (
            collections.defaultdict(list)
        )
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.is_down = False

    @app.route('/v1/keys/<path:key>', methods=['GET'])
    async def get(self, request: IRequest, key: str) -> bytes:
        if self.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        after = request.args.get(b'after')
        if after is None:
            self.calls_by_kind['read'] += 1
            return self._reply(request, key)
        self.calls_by_kind['watch'] += 1
        if self._version(key) <= int(after[0]):
            wait = float(request.args.get(b'wait', [b'10'])[0])
            await self._changed(key, min(wait, MAX_WAIT_SECONDS))
        return self._reply(request, key)

    @app.route('/v1/keys/<path:key>', methods=['PUT'])
    def put(self, request: IRequest, key: str) -> bytes:
        if self.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        self.calls_by_kind['write'] += 1
        value = request.content.read()
        if len(value) > MAX_VALUE_BYTES:
            return server.reply_json(request, {'error': 'too long'}, 413)
        expected = request.getHeader('X-Expected-Version')
        if expected is not None and int(expected) != self._version(key):
            return server.reply_json(
                request, {'version': self._version(key)}, 412
            )
        version = next(self._versions)
        self._values_by_key[key] = (version, value)
        for watcher in self._watchers_by_key.pop(key, []):
            watcher.callback(None)
        return server.reply_json(request, {'version': version})

    @app.route('/admin/down', methods=['PUT'])
    def set_down(self, request: IRequest) -> bytes:
        self.is_down = bool(server.read_json(request))
        return server.reply_json(request, self.is_down)

    @app.route('/admin/calls', methods=['GET'])
    def calls(self, request: IRequest) -> bytes:
        return server.reply_json(request, self.calls_by_kind)

    def _version(self, key: str) -> int:
        return self._values_by_key.get(key, (0, b''))[0]

    def _reply(self, request: IRequest, key: str) -> bytes:
        version, value = self._values_by_key.get(key, (0, b''))
        request.setHeader('X-Version', str(version))
        request.setResponseCode(200 if version else 404)
        return value

    def _changed(self, key: str, seconds: float) -> defer.Deferred[None]:
        watcher: defer.Deferred[None] = defer.Deferred()
        self._watchers_by_key[key].append(watcher)
        timer = reactor.callLater(seconds, self._expire, key, watcher)

        def cancel_timer(result: None) -> None:
            if timer.active():
                timer.cancel()

        return watcher.addCallback(cancel_timer)

    def _expire(self, key: str, watcher: defer.Deferred[None]) -> None:
        self._watchers_by_key[key].remove(watcher)
        watcher.callback(None)
