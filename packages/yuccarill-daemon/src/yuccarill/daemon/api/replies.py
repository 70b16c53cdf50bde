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
    """Return a value as JSON; set the status and headers of the reply."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    encoded = msgspec.json.encode(value)
    request.setHeader('Content-Length', str(len(encoded)))
    return encoded


def as_error(request: IRequest, error: errors.YuccarillError) -> bytes:
    """Return an error as JSON; set the status and headers of the reply."""
    metrics.count(metrics.Metric.API_ERRORS)
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after))
        request.setHeader('Retry-After', str(seconds))
    return as_json(request, describe(error), error.http_status)


def describe(error: errors.YuccarillError) -> operators.ErrorReply:
    """Return the JSON form of an error."""
    return operators.ErrorReply(
        error.code,
        error.code.name,
        error.message,
        error.not_run,
        error.retry_after,
    )


def body_too_long() -> errors.BodyTooLong:
    """Return the error for a request body over the limit."""
    return errors.BodyTooLong(
        f'The body exceeds {MAX_BODY_BYTES} bytes; send less.'
    )


def unknown_path() -> errors.UnknownPath:
    """Return the error for an unknown path."""
    return errors.UnknownPath('This path is unknown; see docs/interfaces.md.')


def new_app() -> klein.Klein:
    """Return an application that answers routing errors with result codes."""
    app = klein.Klein()
    app.handle_errors(exceptions.HTTPException)(_answer_routing_error)
    return app


def _answer_routing_error(_api: Any, request: IRequest, failure: Any) -> bytes:
    error = failure.value
    if not isinstance(error, exceptions.MethodNotAllowed):
        return as_error(request, unknown_path())
    methods = ', '.join(sorted(error.valid_methods or ()))
    request.setHeader('Allow', methods)
    return as_error(
        request, errors.WrongMethod(f'This path accepts only {methods}.')
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
    """Return the first value of a query argument, or an empty string."""
    values = request.args.get(name.encode(), [b''])
    return str(values[0].decode(errors='replace'))


def decode(request: IRequest, kind: Any) -> Any:
    """Return a request's JSON body, decoded as a type.

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
    """Wrap a handler so that errors it raises become replies."""

    @functools.wraps(function)
    async def answer(
        self: Any, request: IRequest, **path_arguments: str
    ) -> Any:
        metrics.count(metrics.Metric.API_REQUESTS)
        started_at = time.monotonic()
        try:
            return await function(self, request, **path_arguments)
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
                metrics.Metric.API_TIME, time.monotonic() - started_at
            )

    return answer
