"""Stand in for a plain service's target."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import klein
import msgspec
from twisted.internet import defer

from yuccarill.standins import faults
from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest


class TargetFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Name the faults of a plain target."""

    seconds_per_call: float = 0.002
    # The next calls run and are answered with status 500.
    fail_calls: int = 0
    # The next calls run and their connection closes with no reply.
    lose_replies: int = 0
    # Calls are taken but run only once this ends, as in a stopped process.
    is_frozen: bool = False


class PlainTargetStandIn:
    """Answer every call and record each run."""

    app = klein.Klein()

    def __init__(self, name: str) -> None:
        self._name = name
        self._faults = faults.FaultSwitch(TargetFaults())
        # Set once the target serves; its port can then be closed for a time.
        self.listening: Any = None
        self._runs: list[dict[str, Any]] = []

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: IRequest) -> bytes:
        return self._faults.answer(request)

    @app.route('/admin/close', methods=['PUT'])
    def close(self, request: IRequest) -> bytes:
        """Refuse connections for the given number of seconds."""
        seconds = server.read_json(request)
        closing = server.close_for(self.listening, seconds)
        defer.ensureDeferred(closing)
        return server.reply_json(request, seconds)

    @app.route('/admin/runs', methods=['GET'])
    def show_runs(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._runs)

    @app.route('/', defaults={'path': ''}, methods=['POST'])
    @app.route('/<path:path>', methods=['POST'])
    async def call(self, request: IRequest, path: str) -> bytes:
        received_at = time.time()
        request_id = request.getHeader('Yuccarill-Request-Id') or ''
        body = request.content.read().decode()
        await server.until(lambda: not self._faults.now.is_frozen)
        self._runs.append(
            {
                'request_id': request_id,
                'path': path,
                'received_at': received_at,
                'run_at': time.time(),
            }
        )
        await server.sleep(self._faults.now.seconds_per_call)
        if self._faults.take('lose_replies'):
            server.cut(request)
            return b''
        answer = {
            'target': self._name,
            'path': path,
            'request_id': request_id,
            'body': body,
        }
        status = 500 if self._faults.take('fail_calls') else 200
        return server.reply_json(request, answer, status)
