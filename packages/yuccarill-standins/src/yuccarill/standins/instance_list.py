"""Stand in for the platform's instance list."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.standins import faults
from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

Entries = dict[str, dict[str, Any]]


class InstanceListFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Name the faults of the instance list."""

    # Seconds after which a change shows.
    lag_seconds: float = 0.0
    seconds_per_call: float = 0.0
    is_down: bool = False


class InstanceListStandIn:
    """Show the instances that an administrator entered."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultSwitch(InstanceListFaults())
        # Each state of the list with when it came to be, the newest last.
        self._history: list[tuple[float, Entries]] = [(0.0, {})]
        self._reads = 0

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: IRequest) -> bytes:
        return self._faults.answer(request)

    @app.route('/admin/calls', methods=['GET'])
    def calls(self, request: IRequest) -> bytes:
        return server.reply_json(request, {'read': self._reads})

    @app.route('/v1/instances', methods=['GET'])
    async def show(self, request: IRequest) -> bytes:
        self._reads += 1
        await server.sleep(self._faults.now.seconds_per_call)
        if self._faults.now.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        return server.reply_json(request, list(self._shown().values()))

    @app.route('/admin/instances/<name>', methods=['PUT'])
    def enter(self, request: IRequest, name: str) -> bytes:
        entry = server.read_json(request)
        self._change({**self._newest(), name: entry})
        return server.reply_json(request, entry)

    @app.route('/admin/instances/<name>', methods=['DELETE'])
    def remove(self, request: IRequest, name: str) -> bytes:
        entries = dict(self._newest())
        entry = entries.pop(name, None)
        self._change(entries)
        return server.reply_json(request, entry)

    def _newest(self) -> Entries:
        return self._history[-1][1]

    def _change(self, entries: Entries) -> None:
        self._history.append((time.monotonic(), entries))

    def _shown(self) -> Entries:
        shown_until = time.monotonic() - self._faults.now.lag_seconds
        while len(self._history) > 1 and self._history[1][0] <= shown_until:
            del self._history[0]
        return self._history[0][1]
