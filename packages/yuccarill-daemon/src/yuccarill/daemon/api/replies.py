"""Turn results and errors into HTTP replies."""

from __future__ import annotations

import functools
import time
from typing import Any
from typing import TYPE_CHECKING

import klein
import msgspec
from werkzeug import exceptions

from yuccarill.core import errors
from yuccarill.daemon import logs
from yuccarill.daemon import metrics
from yuccarill.wire import operators

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.iweb import IRequest

log = logs.for_part('api')

MAX_BODY_BYTES = 4 * 1024 * 1024


def as_json(request: IRequest, value: Any, status: int = 200) -> bytes:
    """Encode a reply."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    encoded = msgspec.json.encode(value)
    request.setHeader('Content-Length', str(len(encoded)))
    return encoded


def as_error(request: IRequest, error: errors.YuccarillError) -> bytes:
    """Encode an error as its reply."""
    metrics.count(metrics.Metric.API_ERRORS)
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after))
        request.setHeader('Retry-After', str(seconds))
    return as_json(request, describe(error), error.http_status)


def describe(error: errors.YuccarillError) -> operators.ErrorReply:
    """Return an error in the form that clients read."""
    return operators.ErrorReply(
        error.code,
        error.code.name,
        error.message,
        error.not_run,
        error.retry_after,
    )


def body_too_long() -> errors.BodyTooLong:
    """Return the refusal of a body that is too long."""
    return errors.BodyTooLong(
        f'The body is over {MAX_BODY_BYTES} bytes; send less.'
    )


def unknown_path() -> errors.UnknownPath:
    """Return the refusal of a path that no interface has."""
    return errors.UnknownPath(
        'This path is not known; see docs/interfaces.md.'
    )


def new_app() -> klein.Klein:
    """Return an application whose unknown routes get numbered errors."""
    app = klein.Klein()
    app.handle_errors(exceptions.HTTPException)(_refuse_route)
    return app


def _refuse_route(_api: Any, request: IRequest, failure: Any) -> bytes:
    refused = failure.value
    if not isinstance(refused, exceptions.MethodNotAllowed):
        return as_error(request, unknown_path())
    methods = ', '.join(sorted(refused.valid_methods or ()))
    request.setHeader('Allow', methods)
    return as_error(
        request, errors.WrongMethod(f'This path takes {methods} only.')
    )


def body(request: IRequest) -> bytes:
    """Return a request's body.

    Raises BodyTooLong.
    """
    content: bytes = request.content.read(MAX_BODY_BYTES + 1)
    if len(content) > MAX_BODY_BYTES:
        raise body_too_long()
    return content


def argument(request: IRequest, name: str) -> str:
    """Return an argument of a request's address, or an empty text."""
    values = request.args.get(name.encode(), [b''])
    return str(values[0].decode(errors='replace'))


def decode(request: IRequest, kind: Any) -> Any:
    """Decode a request's JSON body to a type.

    Raises RequestError.
    """
    try:
        return msgspec.json.decode(body(request), type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
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
        except UnicodeDecodeError:
            return as_error(
                request, errors.RequestError('A header is not UTF-8.')
            )
        except Exception as error:
            log.error('Request failed.', cause=repr(error))
            return as_error(request, errors.YuccarillError('Internal error.'))
        finally:
            metrics.timing(
                metrics.Metric.API_TIME, time.monotonic() - begun_at
            )

    return answer
