"""The HTTP interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.ids import Revision
from yuccarill.daemon.api import audit_view
from yuccarill.daemon.api import replies
from yuccarill.wire import operators

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.daemon.api import status_view
    from yuccarill.daemon.controllers import configuration


class OperatorApi:
    """Handle requests of operators."""

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
        if self._blackboard.snapshot is None:
            raise errors.NoConfiguration('No configuration was applied yet.')
        return replies.as_json(request, self._blackboard.snapshot.as_dict())

    @app.route('/configuration', methods=['PUT'])
    @replies.answering_errors
    async def apply(self, request: IRequest) -> bytes:
        body = replies.decode(request, operators.ApplyRequest)
        result = await self._configuration.apply(
            body.author, body.base, body.document, body.change_id
        )
        return replies.as_json(
            request,
            operators.ApplyReply(
                outcome=result.outcome.value,
                revision=result.revision,
                change_id=result.change_id,
            ),
        )

    @app.route('/audit', methods=['GET'])
    @replies.answering_errors
    async def audit(self, request: IRequest) -> bytes:
        page = await self._configuration.audit()
        return replies.as_json(
            request, audit_view.reply(page, self._configuration.refusals)
        )

    @app.route('/audit/<int:last>', methods=['GET'])
    @replies.answering_errors
    async def audit_before(self, request: IRequest, last: int) -> bytes:
        page = await self._configuration.audit(Revision(last))
        return replies.as_json(request, audit_view.reply(page))

    @app.route('/status', methods=['GET'])
    @replies.answering_errors
    async def status(self, request: IRequest) -> bytes:
        return replies.as_json(request, self._status.reply())
