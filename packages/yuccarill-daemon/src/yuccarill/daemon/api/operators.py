"""The interface for operators."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.daemon.api import replies

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.daemon.controllers import configuration


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for a document to become the next revision."""

    author: str
    base: Revision
    document: Any
    # Repeats of one change id make one revision at most.
    change_id: ChangeId | None = None


class OperatorApi:
    """Answer operators."""

    app = klein.Klein()

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        controller: configuration.ConfigurationController,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._configuration = controller

    @app.route('/configuration', methods=['GET'])
    @replies.answering_errors
    async def show(self, request: IRequest) -> bytes:
        if self._blackboard.head is None:
            raise errors.NoConfiguration('No configuration was applied yet.')
        return replies.as_json(request, self._blackboard.head.view())

    @app.route('/configuration', methods=['PUT'])
    @replies.answering_errors
    async def apply(self, request: IRequest) -> bytes:
        asked = replies.decode(request, ApplyRequest)
        result = await self._configuration.apply(
            asked.author, asked.base, asked.document
        )
        return replies.as_json(
            request,
            {
                'outcome': result.outcome.value,
                'revision': result.revision,
                'change_id': result.change_id,
            },
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
                'instances': list(self._blackboard.instances_by_id.values()),
            },
        )
