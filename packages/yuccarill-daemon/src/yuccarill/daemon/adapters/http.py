"""Share one HTTP client between the adapters."""

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
    """Send requests over kept connections or fresh ones."""

    def __init__(self) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 32
        pool.retryAutomatically = False
        opener = _Opener()
        self._kept = client.Agent.usingEndpointFactory(reactor, opener, pool)
        self._fresh = client.Agent.usingEndpointFactory(reactor, opener)

    def request(
        self,
        method: str,
        url: str,
        *,
        seconds: float,
        fresh: bool = False,
        **more: Any,
    ) -> defer.Deferred[Any]:
        """Send one request; its time limit covers the reply's head."""
        agent = self._fresh if fresh else self._kept
        return treq.client.HTTPClient(agent).request(
            method, url, timeout=seconds, unbuffered=True, **more
        )

    def read(self, url: bytes, seconds: float) -> defer.Deferred[bytes]:
        """Get a small body over a kept connection.

        Cheaper than a request: for reads by the thousand, of which the
        parsing of URLs and headers took most of the time.
        """
        reply = self._kept.request(b'GET', url)
        reply.addCallback(client.readBody)
        return with_timeout(reply, seconds)


@implementer(iweb.IAgentEndpointFactory)
class _Opener:
    # The agent's own way races a name's addresses and notices that the last
    # one was refused only at its next tick, 0.3 s later: three refused
    # targets held a caller for 0.9 s. Every address here is one IP number.
    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        return endpoints.TCP4ClientEndpoint(
            reactor, uri.host.decode(), uri.port, timeout=CONNECT_SECONDS
        )


def with_timeout(
    deferred: defer.Deferred[Any], seconds: float
) -> defer.Deferred[Any]:
    """Cancel a Deferred after some seconds."""
    return deferred.addTimeout(seconds, reactor)


async def body(response: Any, seconds: float) -> bytes:
    """Read a response's whole body."""
    content: bytes = await with_timeout(treq.content(response), seconds)
    return content


def cause(error: Exception) -> str:
    """Return why a request failed, in words for a log line."""
    # The client wraps what happened in a list of failure objects.
    reasons = getattr(error, 'reasons', None)
    inner = reasons[0].value if reasons else error
    if isinstance(inner, defer.CancelledError | defer.TimeoutError):
        return 'no reply in time'
    return str(inner).rstrip('.') or type(inner).__name__
