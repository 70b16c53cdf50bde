"""Call the store directly, or through a peer while that fails."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.store import direct_path
from yuccarill.daemon.gateway.store import peer_choice
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.adapters.http_exchange import OutgoingRequest
    from yuccarill.daemon.adapters.http_exchange import Reply
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('store way')

# Seconds for which a peer that cannot reach the store is excluded: each call
# through a peer may be billed.
PEER_EXCLUDED_SECONDS = 1.5
# Bounds of the number of excluded peers that indicates a store outage. With a
# lower number, a holder that happens to choose only partitioned peers would
# give up and lose its lease. In 115 partitions of a third of all instances, a
# holder chose four partitioned peers in a row once. Eight in a row are
# expected once in 48,000 such partitions of 40 instances.
MIN_EXCLUDED_PEERS = 2
MAX_EXCLUDED_PEERS = 8
INSTANCES_PER_EXCLUDED_PEER = 5
# Additional seconds for a call that a peer forwards.
HOP_SECONDS = 0.2
# Statuses that only peers return: the store did not receive the call, or may
# have executed it.
STATUS_NOT_REACHED = 530
STATUS_UNCLEAR = 531
# Timeout in seconds of a forwarded call, long enough for a watch.
MAX_FORWARDED_SECONDS = 20.0


class StoreRouter:
    """Send calls to the store directly or through a peer that reaches it."""

    def __init__(
        self, state: GatewayState, connections: Connections, clock: Any
    ) -> None:
        self._state = state
        self._connections = connections
        self._clock = clock
        # Called when direct calls start to fail.
        self.on_direct_path_failed: Callable[[], None] = lambda: None
        self._direct = direct_path.DirectPath(state, self._probe, clock)
        self._direct.on_lost = lambda: self.on_direct_path_failed()
        self._direct.on_regained = self._on_regained
        # Serializes background calls until one shows that direct calls work.
        self._first_call_lock = defer.DeferredLock()
        self._peers = peer_choice.PeerChoice(state, clock)
        self._paused: set[defer.Deferred[None]] = set()

    async def send_in_background(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        """Return the store's answer to a call without a waiting caller.

        While direct calls fail, only peers are tried. Raises as `send` does.
        """
        if seconds > store_module.CALL_SECONDS or self._direct.is_fresh():
            return await self._send_by_working_path(request, seconds)
        # At the start of an outage, only one of several concurrent calls is
        # sent and billed.
        await self._first_call_lock.acquire()
        try:
            if not self._direct.is_fresh():
                return await self._send_by_working_path(request, seconds)
        finally:
            self._first_call_lock.release()
        return await self._send_by_working_path(request, seconds)

    async def _send_by_working_path(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        if self._direct.is_working:
            return await self._send_directly(request, seconds)
        peer = self._choose_peer()
        if peer is None:
            raise http_exchange.NotConnected('no peer reaches the store')
        return await self._send_through_peers(peer, request, seconds)

    def probe_now(self) -> None:
        """Probe at once if direct calls fail."""
        self._direct.probe_now()

    async def send(self, request: OutgoingRequest, seconds: float) -> Reply:
        """Return the store's answer.

        Raises NotConnected if the store did not receive the call, and
        ExchangeFailed if the store may have executed it.
        """
        self._direct.note_waiting_caller()
        started_at = self._clock.seconds()
        if not self._direct.is_working:
            peer = self._choose_peer()
            if peer is not None:
                try:
                    return await self._send_through_peers(
                        peer, request, seconds
                    )
                except http_exchange.NotConnected:
                    # Falls through to a direct call: the store may have
                    # recovered before a probe of any instance shows it.
                    if self._clock.seconds() >= started_at + seconds:
                        raise
        return await self._send_directly(request, seconds)

    async def _send_directly(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        """Send a call directly, or through a peer if that fails."""
        try:
            reply = await self._exchange_directly(request, seconds)
        except http_exchange.NotConnected as error:
            self._direct.mark_failed(repr(error))
            peer = self._choose_peer()
            if peer is None:
                raise
            return await self._send_through_peers(peer, request, seconds)
        except http_exchange.ExchangeFailed as error:
            self._direct.mark_failed(repr(error))
            peer = self._choose_peer()
            if peer is None:
                raise
            return await self._repeat_through_peers(
                peer, request, seconds, error
            )
        if not store_module.is_rejected(reply.head.status):
            self._direct.mark_working()
            return reply
        self._direct.mark_failed(f'status {reply.head.status}')
        peer = self._choose_peer()
        if peer is None:
            return reply
        return await self._send_through_peers(peer, request, seconds)

    async def forward(self, request: SmallRequest) -> SmallResponse:
        """Forward a peer's call to the store, never through another peer."""
        outgoing = http_exchange.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=(
                ('Host', self._state.settings.store_address),
                ('Content-Type', 'application/json'),
            ),
            body=request.body,
        )
        if not self._direct.is_working:
            return SmallResponse(status=STATUS_NOT_REACHED)
        try:
            reply = await self._exchange_directly(
                outgoing, MAX_FORWARDED_SECONDS
            )
        except http_exchange.NotConnected:
            return SmallResponse(status=STATUS_NOT_REACHED)
        except http_exchange.ExchangeFailed:
            return SmallResponse(status=STATUS_UNCLEAR)
        if store_module.is_rejected(reply.head.status):
            # Later calls of peers are rejected without a billed call; the
            # calling peer tries another instance.
            self._direct.mark_failed(f'status {reply.head.status}')
            return SmallResponse(status=STATUS_NOT_REACHED)
        return SmallResponse(status=reply.head.status, body=reply.body)

    async def pause(self, seconds: float) -> None:
        """Wait some seconds before a retry.

        If no peer reaches the store either, wait until a probe succeeds or
        peers may be tried again, to save billed calls during an outage.
        """
        if self._direct.is_working or self._choose_peer() is not None:
            await task.deferLater(self._clock, seconds)
            return
        waiting: defer.Deferred[None] = defer.Deferred()
        self._paused.add(waiting)
        timer = self._clock.callLater(
            PEER_EXCLUDED_SECONDS, waiting.callback, None
        )
        try:
            await waiting
        finally:
            self._paused.discard(waiting)
            if timer.active():
                timer.cancel()

    async def _exchange_directly(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        address = self._state.settings.store_address
        return await self._exchange('direct', address, request, seconds)

    async def _exchange(
        self, path: str, address: str, request: OutgoingRequest, seconds: float
    ) -> Reply:
        started_at = self._clock.seconds()
        deadline = Instant(started_at + seconds)
        outcome = 'no answer'
        try:
            reply = await self._connections.exchange(
                address, request, deadline
            )
            outcome = f'status {reply.head.status}'
            return reply
        finally:
            meters.STORE_CALLS.labels(path, outcome).inc()
            if seconds <= store_module.CALL_SECONDS + HOP_SECONDS:
                elapsed = self._clock.seconds() - started_at
                meters.STORE_SECONDS.labels(path).observe(elapsed)

    async def _send_through_peers(
        self, peer: InstanceRecord, request: OutgoingRequest, seconds: float
    ) -> Reply:
        """Try peers in turn until one forwards the call.

        In a partition, several peers may be cut off as well. Only a call that
        is known not to have reached the store is retried at the next peer.
        """
        deadline = self._clock.seconds() + seconds + HOP_SECONDS
        while True:
            seconds_left = deadline - self._clock.seconds()
            try:
                return await self._send_through(peer, request, seconds_left)
            except http_exchange.NotConnected:
                next_peer = self._choose_peer()
                if next_peer is None or self._clock.seconds() >= deadline:
                    raise
                peer = next_peer

    async def _repeat_through_peers(
        self,
        peer: InstanceRecord,
        request: OutgoingRequest,
        seconds: float,
        unanswered: http_exchange.ExchangeFailed,
    ) -> Reply:
        """Repeat a call that the store may have executed.

        Raises ExchangeFailed unless the store answers the repeated call: that
        a later call was not executed tells nothing about the first one.
        """
        try:
            reply = await self._send_through_peers(peer, request, seconds)
        except http_exchange.NotConnected as error:
            cause = str(error)
        else:
            if not store_module.is_rejected(reply.head.status):
                return reply
            cause = f'status {reply.head.status}'
        log.info(
            'Outcome of a store call is unknown.',
            method=request.method,
            cause=str(unanswered),
            repeated=cause,
        )
        raise unanswered

    async def _send_through(
        self, peer: InstanceRecord, request: OutgoingRequest, seconds: float
    ) -> Reply:
        try:
            reply = await self._exchange(
                'peer', peer.peer_address, request, seconds
            )
        except (http_exchange.NotConnected, http_exchange.ExchangeFailed):
            self._exclude(peer)
            raise
        if reply.head.status == STATUS_NOT_REACHED:
            self._exclude(peer)
            raise http_exchange.NotConnected('peer does not reach the store')
        if reply.head.status == STATUS_UNCLEAR:
            self._exclude(peer)
            raise http_exchange.ExchangeFailed(
                'peer got no answer from the store'
            )
        self._peers.prefer(peer.instance)
        return reply

    def _choose_peer(self) -> InstanceRecord | None:
        known = len(self._state.instances_by_id)
        threshold = min(
            known // INSTANCES_PER_EXCLUDED_PEER, MAX_EXCLUDED_PEERS
        )
        if self._peers.count_excluded() >= max(threshold, MIN_EXCLUDED_PEERS):
            return None
        return self._peers.choose()

    async def _probe(self) -> bool:
        """Return whether the store answers a direct call."""
        host = self._state.settings.store_address
        try:
            reply = await self._exchange_directly(
                store_module.probe(host), direct_path.PROBE_TIMEOUT_SECONDS
            )
        except (http_exchange.NotConnected, http_exchange.ExchangeFailed):
            return False
        return not store_module.is_rejected(reply.head.status)

    def _on_regained(self) -> None:
        self._peers.clear()
        for waiting in list(self._paused):
            self._paused.discard(waiting)
            waiting.callback(None)

    def _exclude(self, peer: InstanceRecord) -> None:
        self._peers.exclude(peer.instance, PEER_EXCLUDED_SECONDS)


class BackgroundStoreRouter:
    """Send calls without a waiting caller, such as those of followers."""

    def __init__(self, router: StoreRouter) -> None:
        self._router = router

    async def send(self, request: OutgoingRequest, seconds: float) -> Reply:
        """Return the store's answer; raise as `StoreRouter.send` does."""
        return await self._router.send_in_background(request, seconds)

    async def pause(self, seconds: float) -> None:
        """Wait before a retry; longer while no peer reaches the store."""
        await self._router.pause(seconds)

    def probe_now(self) -> None:
        """Probe at once if direct calls fail."""
        self._router.probe_now()
