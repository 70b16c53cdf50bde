"""Serve klein applications on loopback."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server

from yuccarill.standins import ports

if TYPE_CHECKING:
    from collections.abc import Callable

    import klein
    from twisted.web.iweb import IRequest

LOOPBACK = ports.LOOPBACK
POLL_SECONDS = 0.02


async def listen(app: klein.Klein) -> Any:
    """Serve an application on a free port; return the listening port."""
    (port,) = ports.reserve(1)
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, interface=LOOPBACK, backlog=1024
    )
    return await endpoint.listen(server.Site(app.resource()))


def address_of(listening: Any) -> str:
    return f'{LOOPBACK}:{listening.getHost().port}'


async def refuse_connections(listening: Any, seconds: float) -> None:
    """Refuse connections on a listening port for a time."""
    await defer.maybeDeferred(listening.stopListening)
    await sleep(seconds)
    listening.startListening()


def read_json(request: IRequest) -> Any:
    """Decode a JSON request body."""
    return json.loads(request.content.read() or b'null')


def reply_json(request: IRequest, value: Any, status: int = 200) -> bytes:
    """Set status and type of a reply; return its JSON body."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    return json.dumps(value).encode()


def sleep(seconds: float) -> defer.Deferred[None]:
    """Wait without blocking the reactor."""
    return task.deferLater(reactor, seconds, lambda: None)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await sleep(POLL_SECONDS)


def watch_for_disconnect(request: IRequest) -> Callable[[], bool]:
    """Return a function that tells whether the client disconnected."""
    lost = []
    request.notifyFinish().addErrback(lost.append)
    return lambda: bool(lost)


def abort_connection(request: IRequest) -> None:
    """Abort a request's connection without a reply."""
    request.channel.forceAbortClient()


def reply_never() -> defer.Deferred[bytes]:
    """Return a reply that never arrives."""
    return defer.Deferred()
