"""The single outgoing stream to a peer."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.python import failure

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.daemon.peers import stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.peers.local import Local

    Dial = Callable[[Instance, stream.PeerStream], defer.Deferred[Any]]

BACKOFF_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 2.0


class PeerLink:
    """Share one stream and one connection attempt among requests."""

    def __init__(
        self, local: Local, dial: Dial, jitter: random.Random
    ) -> None:
        self._local = local
        self._dial = dial
        self._jitter = jitter
        self._stream: stream.PeerStream | None = None
        self._waiters: list[defer.Deferred[None]] = []
        self._is_dialling = False
        self._failures = 0
        self._retry_at = Instant(0.0)

    async def open(self, peer: Instance) -> stream.PeerStream:
        """Return the stream to a peer; connect if there is none.

        Raises NotRun if the peer cannot be reached.
        """
        if self._stream is not None and self._stream.is_open:
            return self._stream
        # Concurrent requests share one attempt; further streams would stay
        # open unused until the idle timeout.
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        if not self._is_dialling:
            defer.ensureDeferred(self._connect(peer))
        await waiter
        assert self._stream is not None
        return self._stream

    async def _connect(self, peer: Instance) -> None:
        wait = self._retry_at - self._local.clock.seconds()
        if wait > 0:
            self._fail(_unreachable(peer, wait))
            return
        self._is_dialling = True
        new_stream = stream.PeerStream(self._local, peer.id)
        try:
            await self._dial(peer, new_stream)
            await new_stream.opened
        except Exception:
            self._fail(_unreachable(peer, self._schedule_retry()))
            return
        self._failures = 0
        self._stream = new_stream
        self._resolve_waiters(None)

    def _schedule_retry(self) -> float:
        self._failures += 1
        doublings = min(self._failures - 1, 10)
        max_wait = min(BACKOFF_SECONDS * 2**doublings, BACKOFF_MAX_SECONDS)
        # Jitter prevents all instances from dialling a restarted peer at once.
        wait = max_wait * self._jitter.uniform(0.5, 1.0)
        self._retry_at = Instant(self._local.clock.seconds() + wait)
        return wait

    def _fail(self, error: errors.NotRun) -> None:
        self._resolve_waiters(failure.Failure(error))

    def _resolve_waiters(self, result: Any) -> None:
        self._is_dialling = False
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(result)


def _unreachable(peer: Instance, wait: float) -> errors.NotRun:
    return errors.NotRun(
        f'Instance {peer.id} cannot be reached.', retry_after=wait
    )
