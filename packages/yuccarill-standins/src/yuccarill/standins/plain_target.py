"""Stand-in for a target of a plain service."""

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
    """Faults and delays of a plain target."""

    seconds_per_call: float = 0.002
    # Number of next calls that run and are answered with status 500.
    fail_calls: int = 0
    # Number of next calls that run and whose reply is lost.
    lose_replies: int = 0
    # Calls are accepted but do not run while this is set.
    is_frozen: bool = False


class PlainTargetStandIn:
    """Answer every call and record each run."""

    app = klein.Klein()

    def __init__(self, name: str) -> None:
        self._name = name
        self._faults = faults.FaultControl(TargetFaults())
        # Listening port; set once the target serves.
        self.listening: Any = None
        self._runs: list[dict[str, Any]] = []

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def configure_faults(self, request: IRequest) -> bytes:
        return self._faults.handle_request(request)

    @app.route('/admin/close', methods=['PUT'])
    def close(self, request: IRequest) -> bytes:
        """Refuse connections for the seconds in the body."""
        seconds = server.read_json(request)
        closing = server.refuse_connections(self.listening, seconds)
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
        await server.wait_until(lambda: not self._faults.current.is_frozen)
        self._runs.append(
            {
                'request_id': request_id,
                'path': path,
                'received_at': received_at,
                'run_at': time.time(),
            }
        )
        await server.sleep(self._faults.current.seconds_per_call)
        if self._faults.consume('lose_replies'):
            server.abort_connection(request)
            return b''
        answer = {
            'target': self._name,
            'path': path,
            'request_id': request_id,
            'body': body,
        }
        status = 500 if self._faults.consume('fail_calls') else 200
        return server.reply_json(request, answer, status)
