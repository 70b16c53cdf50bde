"""The HTTP interface for trainers."""

from __future__ import annotations

from typing import Annotated
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import step as step_module
from yuccarill.core.rollouts.step import StepRequest
from yuccarill.daemon.api import replies

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from yuccarill.daemon.controllers.step_routing import StepRouting

_STEP = f'<int(max={step_module.MAX_NUMBER}):step>'


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The newest weight version of a trainer."""

    newest_version: Annotated[
        WeightVersion, msgspec.Meta(ge=0, le=step_module.MAX_NUMBER)
    ]


class TrainerApi:
    """Handle requests of trainers."""

    app = replies.new_app()

    def __init__(self, steps: StepRouting) -> None:
        self._steps = steps

    @app.route('/<trainer>/steps', methods=['POST'])
    @replies.answering_errors
    async def submit(self, request: IRequest, trainer: str) -> bytes:
        body = replies.decode(request, StepRequest)
        await self._steps.submit(TrainerId(trainer), body)
        return replies.as_json(request, {'step': body.step}, 202)

    @app.route(f'/<trainer>/steps/{_STEP}', methods=['GET'])
    @replies.answering_errors
    async def fetch(self, request: IRequest, trainer: str, step: int) -> bytes:
        body = await self._steps.fetch(TrainerId(trainer), StepNumber(step))
        request.setHeader('Content-Type', 'application/json')
        return body

    @app.route(f'/<trainer>/steps/{_STEP}/acknowledgement', methods=['PUT'])
    @replies.answering_errors
    async def acknowledge(
        self, request: IRequest, trainer: str, step: int
    ) -> bytes:
        await self._steps.acknowledge(TrainerId(trainer), StepNumber(step))
        return replies.as_json(request, {'step': step})

    @app.route(f'/<trainer>/steps/{_STEP}', methods=['DELETE'])
    @replies.answering_errors
    async def delete(
        self, request: IRequest, trainer: str, step: int
    ) -> bytes:
        await self._steps.delete(TrainerId(trainer), StepNumber(step))
        return replies.as_json(request, {'step': step})

    @app.route('/<trainer>/newest', methods=['PUT'])
    @replies.answering_errors
    async def announce(self, request: IRequest, trainer: str) -> bytes:
        announcement = replies.decode(request, Announcement)
        await self._steps.announce(
            TrainerId(trainer), announcement.newest_version
        )
        return replies.as_json(request, announcement)
