"""Stand-in for the platform's instance list."""

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
    """Faults and delays of the instance list."""

    # Seconds until a change is visible.
    lag_seconds: float = 0.0
    seconds_per_call: float = 0.0
    is_down: bool = False


class InstanceListStandIn:
    """Serve the instances that an administrator registered."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultControl(InstanceListFaults())
        # States of the list, each with the time of its change; latest last.
        self._history: list[tuple[float, Entries]] = [(0.0, {})]
        self._reads = 0

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def configure_faults(self, request: IRequest) -> bytes:
        return self._faults.handle_request(request)

    @app.route('/admin/calls', methods=['GET'])
    def show_calls(self, request: IRequest) -> bytes:
        return server.reply_json(request, {'read': self._reads})

    @app.route('/v1/instances', methods=['GET'])
    async def list_instances(self, request: IRequest) -> bytes:
        self._reads += 1
        await server.sleep(self._faults.current.seconds_per_call)
        if self._faults.current.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        return server.reply_json(request, list(self._visible().values()))

    @app.route('/admin/instances/<name>', methods=['PUT'])
    def register(self, request: IRequest, name: str) -> bytes:
        entry = server.read_json(request)
        self._append({**self._latest(), name: entry})
        return server.reply_json(request, entry)

    @app.route('/admin/instances/<name>', methods=['DELETE'])
    def remove(self, request: IRequest, name: str) -> bytes:
        entries = dict(self._latest())
        entry = entries.pop(name, None)
        self._append(entries)
        return server.reply_json(request, entry)

    def _latest(self) -> Entries:
        return self._history[-1][1]

    def _append(self, entries: Entries) -> None:
        self._history.append((time.monotonic(), entries))

    def _visible(self) -> Entries:
        visible_until = time.monotonic() - self._faults.current.lag_seconds
        while len(self._history) > 1 and self._history[1][0] <= visible_until:
            del self._history[0]
        return self._history[0][1]
