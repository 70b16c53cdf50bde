"""The interface for operators."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import Revision
from yuccarill.daemon.api import replies

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.daemon.controllers import configuration
    from yuccarill.daemon.peers.traffic import Traffic


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for a document to become the next revision."""

    author: str
    base: Revision
    document: Any


class OperatorApi:
    """Answer operators."""

    app = klein.Klein()

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        controller: configuration.ConfigurationController,
        traffic: Traffic,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._configuration = controller
        self._traffic = traffic

    @app.route('/configuration', methods=['GET'])
    @replies.answering_errors
    async def show(self, request: IRequest) -> bytes:
        if self._blackboard.head is None:
            raise errors.NoConfiguration('No configuration was applied yet.')
        return replies.as_json(request, self._blackboard.head.head)

    @app.route('/configuration', methods=['PUT'])
    @replies.answering_errors
    async def apply(self, request: IRequest) -> bytes:
        asked = replies.decode(request, ApplyRequest)
        head = await self._configuration.apply(
            asked.author, asked.base, asked.document
        )
        return replies.as_json(
            request,
            {'revision': head.revision, 'change_id': head.change_id},
        )

    @app.route('/status', methods=['GET'])
    @replies.answering_errors
    async def status(self, request: IRequest) -> bytes:
        head = self._blackboard.head
        return replies.as_json(
            request,
            {
                'instance': self._blackboard.me.id,
                'incarnation': self._incarnation,
                'revision': head.revision if head else 0,
                'is_leaving': self._blackboard.is_leaving,
                'peer_bytes_sent': self._traffic.sent,
                'peer_bytes_received': self._traffic.received,
                'instances': list(self._blackboard.instances_by_id.values()),
            },
        )
