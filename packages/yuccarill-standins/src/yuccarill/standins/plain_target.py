"""Stand in for a plain service's target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import klein

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest


class PlainTargetStandIn:
    """Answer every call and record each run."""

    app = klein.Klein()

    def __init__(self, name: str) -> None:
        self._name = name
        self.seconds_per_call = 0.002
        self.runs: list[str] = []

    @app.route('/admin/runs', methods=['GET'])
    def show_runs(self, request: IRequest) -> bytes:
        return server.reply_json(request, self.runs)

    @app.route('/', defaults={'path': ''}, methods=['POST'])
    @app.route('/<path:path>', methods=['POST'])
    async def call(self, request: IRequest, path: str) -> bytes:
        request_id = request.getHeader('Yuccarill-Request-Id') or ''
        self.runs.append(request_id)
        await server.sleep(self.seconds_per_call)
        body = request.content.read().decode()
        return server.reply_json(
            request,
            {
                'target': self._name,
                'path': path,
                'request_id': request_id,
                'body': body,
            },
        )
