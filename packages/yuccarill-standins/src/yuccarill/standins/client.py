"""HTTP client for callers, trainers and operators of the demonstration."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import treq
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.internet import reactor
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer

CALL_SECONDS = 10.0
CONNECT_SECONDS = 1.0


class Unreachable(Exception):
    """No connection was made, so no byte was sent."""


class ConnectionCut(Exception):
    """The connection ended before the complete reply arrived."""


class Reply(msgspec.Struct, frozen=True):
    """A complete HTTP reply."""

    status: int
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


async def send(
    method: str,
    url: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    seconds: float = CALL_SECONDS,
) -> Reply:
    """Send one request and return its complete reply.

    Raises Unreachable or ConnectionCut.
    """
    agent = client.Agent.usingEndpointFactory(reactor, _EndpointFactory())
    try:
        response = await treq.client.HTTPClient(agent).request(
            method,
            url,
            data=None if value is None else json.dumps(value).encode(),
            headers=headers or {},
            timeout=seconds,
        )
        content = treq.content(response).addTimeout(seconds, reactor)
        return Reply(response.code, await content)
    except internet_error.ConnectError as error:
        raise Unreachable(f'{url}: {error}') from error
    except Exception as error:
        raise ConnectionCut(f'{url}: {error!r}') from error


@implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    # The default endpoint of the agent reports a refused connection late.
    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        return endpoints.TCP4ClientEndpoint(
            reactor, uri.host.decode(), uri.port, timeout=CONNECT_SECONDS
        )
