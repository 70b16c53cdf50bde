"""Turn results and errors into HTTP replies."""

from __future__ import annotations

import functools
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.daemon import logs
from yuccarill.daemon import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.iweb import IRequest

log = logs.for_part('api')

MAX_BODY_BYTES = 4 * 1024 * 1024


class ErrorReply(msgspec.Struct, frozen=True):
    """Describe an error to a caller, a trainer or an operator."""

    code: int
    name: str
    message: str
    not_run: bool
    retry_after: float | None


def as_json(request: IRequest, value: Any, status: int = 200) -> bytes:
    """Encode a reply."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    return msgspec.json.encode(value)


def as_error(request: IRequest, error: errors.YuccarillError) -> bytes:
    """Encode an error as its reply."""
    metrics.count(metrics.Metric.API_ERRORS)
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after))
        request.setHeader('Retry-After', str(seconds))
    reply = ErrorReply(
        error.code,
        error.code.name,
        error.message,
        error.not_run,
        error.retry_after,
    )
    return as_json(request, reply, error.http_status)


def body(request: IRequest) -> bytes:
    """Return a request's body.

    Raises BodyTooLong.
    """
    content: bytes = request.content.read(MAX_BODY_BYTES + 1)
    if len(content) > MAX_BODY_BYTES:
        raise errors.BodyTooLong(
            f'The body is over {MAX_BODY_BYTES} bytes; send less.'
        )
    return content


def decode(request: IRequest, kind: Any) -> Any:
    """Decode a request's JSON body to a type.

    Raises RequestError.
    """
    try:
        return msgspec.json.decode(body(request), type=kind)
    except msgspec.MsgspecError as error:
        raise errors.RequestError(
            f'The body is not valid: {error}.'
        ) from error


def answering_errors(
    function: Callable[..., Any],
) -> Callable[..., Any]:
    """Reply to a request with the error that its handler raised."""

    @functools.wraps(function)
    async def answer(self: Any, request: IRequest, **places: str) -> Any:
        metrics.count(metrics.Metric.API_REQUESTS)
        begun_at = time.monotonic()
        try:
            return await function(self, request, **places)
        except errors.YuccarillError as error:
            return as_error(request, error)
        except Exception as error:
            log.error('Request failed.', cause=repr(error))
            return as_error(request, errors.YuccarillError('Internal error.'))
        finally:
            metrics.timing(
                metrics.Metric.API_TIME, time.monotonic() - begun_at
            )

    return answer
