"""The HTTP client that the adapters share."""

from __future__ import annotations

from typing import Any

import treq
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import reactor
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer

CONNECT_SECONDS = 1.0


class HttpClient:
    """Send requests over pooled or new connections."""

    def __init__(self) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 32
        pool.retryAutomatically = False
        endpoint_factory = _EndpointFactory()
        self._pooled_agent = client.Agent.usingEndpointFactory(
            reactor, endpoint_factory, pool
        )
        self._unpooled_agent = client.Agent.usingEndpointFactory(
            reactor, endpoint_factory
        )

    def request(
        self,
        method: str,
        url: str,
        *,
        seconds: float,
        fresh: bool = False,
        **options: Any,
    ) -> defer.Deferred[Any]:
        """Send one request; `seconds` limits the wait for the reply head."""
        agent = self._unpooled_agent if fresh else self._pooled_agent
        return treq.client.HTTPClient(agent).request(
            method, url, timeout=seconds, unbuffered=True, **options
        )

    def read(self, url: bytes, seconds: float) -> defer.Deferred[bytes]:
        """Return a small body, read over a pooled connection.

        Cheaper than `request`, which parses URLs and headers, for frequent
        reads.
        """
        reply = self._pooled_agent.request(b'GET', url)
        reply.addCallback(client.readBody)
        return with_timeout(reply, seconds)


@implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    # The agent's default endpoint reports a refused connection only after its
    # happy-eyeballs delay, which delays each retry. Addresses here are IPv4.
    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        return endpoints.TCP4ClientEndpoint(
            reactor, uri.host.decode(), uri.port, timeout=CONNECT_SECONDS
        )


def with_timeout(
    deferred: defer.Deferred[Any], seconds: float
) -> defer.Deferred[Any]:
    """Cancel a Deferred that has not fired after `seconds`."""
    return deferred.addTimeout(seconds, reactor)


async def body(response: Any, seconds: float) -> bytes:
    """Return a response's complete body."""
    content: bytes = await with_timeout(treq.content(response), seconds)
    return content


def cause(error: Exception) -> str:
    """Return why a request failed, as text for a message."""
    # The client wraps the cause in a list of failures.
    reasons = getattr(error, 'reasons', None)
    root_cause = reasons[0].value if reasons else error
    if isinstance(root_cause, defer.CancelledError | defer.TimeoutError):
        return 'no reply in time'
    return str(root_cause).rstrip('.') or type(root_cause).__name__
