"""Stand in for the platform's weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import klein

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest


class WeightStoreStandIn:
    """Tell the newest weight version of each model."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._newest_by_model: dict[str, int] = {}

    @app.route('/v1/models/<model>/newest', methods=['GET'])
    def newest(self, request: IRequest, model: str) -> bytes:
        return server.reply_json(request, self._newest_by_model.get(model, 1))

    @app.route('/v1/models/<model>/newest', methods=['PUT'])
    def publish(self, request: IRequest, model: str) -> bytes:
        version = server.read_json(request)
        self._newest_by_model[model] = version
        return server.reply_json(request, version)
