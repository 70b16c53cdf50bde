"""The interface for operators."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.daemon.api import replies

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.daemon.api import status_view
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

    app = replies.new_app()

    def __init__(
        self,
        blackboard: Blackboard,
        controller: configuration.ConfigurationController,
        status: status_view.StatusView,
    ) -> None:
        self._blackboard = blackboard
        self._configuration = controller
        self._status = status

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
        return replies.as_json(request, self._status.reply())
