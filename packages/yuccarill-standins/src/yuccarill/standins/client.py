"""Speak HTTP as callers, trainers and the platform's operators do."""

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
    """Report that no connection was made, so no byte was sent."""


class Cut(Exception):
    """Report a connection that ended before the whole reply had come."""


class Reply(msgspec.Struct, frozen=True):
    """Hold one whole reply."""

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
    """Send one request and read its whole reply.

    Raises Unreachable or Cut.
    """
    agent = client.Agent.usingEndpointFactory(reactor, _Opener())
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
        raise Cut(f'{url}: {error!r}') from error


@implementer(iweb.IAgentEndpointFactory)
class _Opener:
    # The agent's own way notices a refused connection only after 0.3 s.
    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        return endpoints.TCP4ClientEndpoint(
            reactor, uri.host.decode(), uri.port, timeout=CONNECT_SECONDS
        )
