"""Stand in for the platform's instance list."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import klein

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest


class InstanceListStandIn:
    """Show the instances that an administrator entered."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._entries_by_id: dict[str, dict[str, Any]] = {}

    @app.route('/v1/instances', methods=['GET'])
    def show(self, request: IRequest) -> bytes:
        return server.reply_json(request, list(self._entries_by_id.values()))

    @app.route('/admin/instances/<name>', methods=['PUT'])
    def enter(self, request: IRequest, name: str) -> bytes:
        entry = server.read_json(request)
        self._entries_by_id[name] = entry
        return server.reply_json(request, entry)

    @app.route('/admin/instances/<name>', methods=['DELETE'])
    def remove(self, request: IRequest, name: str) -> bytes:
        entry = self._entries_by_id.pop(name, None)
        return server.reply_json(request, entry)
