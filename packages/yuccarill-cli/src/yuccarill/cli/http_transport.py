"""Send requests to instances over HTTP."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import click
import treq
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import reactor
from twisted.web import client

from yuccarill.cli.transport import NoReply
from yuccarill.cli.transport import NotSent
from yuccarill.cli.transport import Reply

if TYPE_CHECKING:
    from collections.abc import Awaitable

CONNECT_SECONDS = 2.0
# Raised while connecting, before any byte of a request is sent.
_NOT_CONNECTED = (
    internet_error.ConnectError,
    internet_error.ConnectionRefusedError,
    internet_error.TimeoutError,
)


class HttpTransport:
    """Send each request over HTTP on a new connection."""

    def __init__(self) -> None:
        agent: Any = client.Agent(reactor, connectTimeout=CONNECT_SECONDS)
        self._client: Any = treq.client.HTTPClient(agent)

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        seconds: float,
    ) -> Reply:
        """Send one request; raises NotSent or NoReply."""
        try:
            response = await self._client.request(
                method,
                f'http://{address}{path}',
                data=body,
                headers={'Content-Type': 'application/json'},
                timeout=seconds,
            )
            content = treq.content(response)
            content.addTimeout(seconds, reactor)
            return Reply(response.code, await content)
        except _NOT_CONNECTED as error:
            raise NotSent(str(error)) from error
        except Exception as error:
            raise NoReply(_cause(error)) from error


def _cause(error: Exception) -> str:
    """Return a readable reason for a missing reply."""
    reasons = getattr(error, 'reasons', None)
    inner = reasons[0].value if reasons else error
    if isinstance(inner, defer.CancelledError | defer.TimeoutError):
        return 'the request timed out'
    return str(inner) or type(inner).__name__


def run(awaitable: Awaitable[Any]) -> Any:
    """Run the reactor until an awaitable completes and return its result."""
    results: list[Any] = []

    def start() -> None:
        done = defer.ensureDeferred(awaitable)  # type: ignore[arg-type]
        done.addBoth(results.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        raise click.Abort
    if hasattr(results[0], 'raiseException'):
        results[0].raiseException()
    return results[0]
