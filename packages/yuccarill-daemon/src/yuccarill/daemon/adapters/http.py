"""Share one HTTP client between the adapters."""

from __future__ import annotations

from typing import Any

import treq
from twisted.internet import defer
from twisted.internet import reactor
from twisted.web import client

CONNECT_SECONDS = 1.0


class HttpClient:
    """Send requests over kept connections or fresh ones."""

    def __init__(self) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 32
        pool.retryAutomatically = False
        self._kept = client.Agent(
            reactor, connectTimeout=CONNECT_SECONDS, pool=pool
        )
        self._fresh = client.Agent(reactor, connectTimeout=CONNECT_SECONDS)

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


def with_timeout(
    deferred: defer.Deferred[Any], seconds: float
) -> defer.Deferred[Any]:
    """Cancel a Deferred after some seconds."""
    return deferred.addTimeout(seconds, reactor)


async def body(response: Any, seconds: float) -> bytes:
    """Read a response's whole body."""
    content: bytes = await with_timeout(treq.content(response), seconds)
    return content
