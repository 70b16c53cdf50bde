"""The HTTP interface for callers."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.calls import paths
from yuccarill.core import errors
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WallTime
from yuccarill.core.membership import addresses as address_choice
from yuccarill.daemon.api import replies
from yuccarill.daemon.controllers.attempts import Call

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.controllers.calls import CallController
    from yuccarill.daemon.controllers.membership import MembershipController

DEFAULT_SECONDS = 10.0
MAX_SECONDS = 600.0


class Addresses(msgspec.Struct, frozen=True):
    """The instances that a caller can use, and until when."""

    addresses: list[str]
    valid_until: WallTime
    ticket: str


class GenerateRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to generate tokens."""

    prompt: str
    max_tokens: int = 16


class CallerApi:
    """Handle requests of callers."""

    app = replies.new_app()

    def __init__(
        self,
        calls: CallController,
        membership: MembershipController,
        validity: float,
    ) -> None:
        self._calls = calls
        self._membership = membership
        self._validity = validity

    @app.route('/addresses', methods=['GET'])
    @replies.answering_errors
    async def addresses(self, request: IRequest) -> bytes:
        ticket = str(self._calls.new_ticket())
        chosen = address_choice.choose(
            self._membership.live(),
            # Requests without a caller ID are spread by their new tickets.
            _caller(request) or ticket,
            DataCentreId(replies.argument(request, 'data_centre')),
        )
        answer = Addresses(
            [f'{instance.host}:{instance.http_port}' for instance in chosen],
            self._membership.answer_valid_until(self._validity),
            ticket,
        )
        return replies.as_json(request, answer)

    @app.route('/services/<service>/<path:path>', methods=['POST'])
    @replies.answering_errors
    async def call(self, request: IRequest, service: str, path: str) -> bytes:
        ticket = _header(request, 'Yuccarill-Ticket', '') or None
        try:
            call = Call(
                request_id=_request_id(request),
                service=ServiceName(service),
                path=paths.check(path),
                query=request.uri.partition(b'?')[2].decode('ascii'),
                content_type=_header(request, 'Content-Type', ''),
                body=replies.body(request),
                deadline=Instant(time.monotonic() + _seconds(request)),
                ticket=ticket,
                caller=_caller(request),
            )
        except errors.RequestError as error:
            # With a ticket, an earlier attempt with the same request ID may
            # have run; only the instance that issued the ticket knows.
            error.not_run = ticket is None
            raise
        answer = await self._calls.run(call)
        request.setResponseCode(answer.status)
        request.setHeader('Content-Type', answer.content_type)
        return answer.body

    @app.route('/requests/<request_id>', methods=['GET'])
    @replies.answering_errors
    async def outcome(self, request: IRequest, request_id: str) -> bytes:
        ticket = _header(request, 'Yuccarill-Ticket', '')
        call_outcome = await self._calls.outcome(ticket, RequestId(request_id))
        return replies.as_json(request, call_outcome)

    @app.route('/models/<model>/generate', methods=['POST'])
    @replies.answering_errors
    async def generate(self, request: IRequest, model: str) -> bytes:
        generate_request = replies.decode(request, GenerateRequest)
        has_begun = False

        def relay(chunk: Chunk) -> None:
            nonlocal has_begun
            if not has_begun:
                request.setHeader('Content-Type', 'application/x-ndjson')
                has_begun = True
            request.write(msgspec.json.encode(chunk) + b'\n')

        try:
            await self._calls.generate(
                _caller(request),
                ModelName(model),
                {
                    'request_id': _request_id(request),
                    'prompt': generate_request.prompt,
                    'max_tokens': generate_request.max_tokens,
                },
                _seconds(request),
                relay,
            )
        except errors.YuccarillError as error:
            if not has_begun:
                raise
            # The status is already sent, so the last line reports the error
            # in place of the line that marks a complete stream.
            line = {'error': error.code, 'message': error.message}
            return msgspec.json.encode(line) + b'\n'
        return b'{"done":true}\n'


def _header(request: IRequest, name: str, default: str) -> str:
    return request.getHeader(name) or default


def _caller(request: IRequest) -> CallerId | None:
    value = _header(request, 'Yuccarill-Caller', '')
    return CallerId(value) if value else None


def _request_id(request: IRequest) -> RequestId:
    value = _header(request, 'Yuccarill-Request-Id', '')
    if not value:
        raise errors.RequestError(
            'The header Yuccarill-Request-Id is missing; add a unique ID.'
        )
    return RequestId(value)


def _seconds(request: IRequest) -> float:
    text = _header(request, 'Yuccarill-Timeout', str(DEFAULT_SECONDS))
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_SECONDS:
        raise errors.RequestError(
            f'The header Yuccarill-Timeout is {text}; write seconds, '
            f'above 0 and up to {MAX_SECONDS}.'
        )
    return seconds
