"""Reach the store directly, or through an instance that still does."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters.small_server import Page
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.store import direct_way
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

# Seconds for which a peer that did not reach the store either is left out:
# while the store is away, each try through a peer is a paid call more.
PEER_OUT_SECONDS = 1.5
# Peers out of order that show that the store itself is away: one may be an
# accident, two are not. Where a third of all instances is cut off at once, a
# holder met four of them in a row once in 115 cuts, took the store for away
# and lost three calls, 1.5 s of a lease of 2.5 s; eight come by chance once
# in 48,000 cuts of 40 instances, and once in 6,600 of many. A peer that knows
# its own way to be out says so without a paid call, and costs a message.
MIN_PEERS_OUT = 2
MAX_PEERS_OUT = 8
INSTANCES_PER_PEER_OUT = 5
# Seconds that a passed-on call may take longer than a direct one.
HOP_SECONDS = 0.2
# What a peer answers where the store did not get a call, and where it may
# have carried it out; the store itself answers neither.
STATUS_NOT_REACHED = 530
STATUS_UNCLEAR = 531
# Longest waiting time of a watch that a peer passes on.
MAX_PASSED_ON = 20.0


class StoreWay:
    """Send calls to the store and remember which way works."""

    def __init__(
        self, state: GatewayState, links: Connections, clock: Any
    ) -> None:
        self._state = state
        self._links = links
        self._clock = clock
        # Called when the direct way is lost.
        self.on_lost: Callable[[], None] = lambda: None
        self._direct = direct_way.DirectWay(state, self._probe, clock)
        self._direct.on_lost = lambda: self.on_lost()
        self._direct.on_regained = self._regained
        # Lets one call at a time find out whether the direct way is in order.
        self._trial = defer.DeferredLock()
        self._peers = peer_choice.PeerChoice(state, clock)
        self._waiting: set[defer.Deferred[None]] = set()

    async def send_in_background(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        """Return the store's answer to a call that nobody waits for.

        While the direct way is out of order it is left to the probes.
        Raises as `send` does.
        """
        if seconds > store_module.CALL_SECONDS or self._direct.is_fresh():
            return await self._send_unawaited(request, seconds)
        # As the store fell silent, each instance followed three prefixes and
        # kept a lease: four calls went out before the first one failed.
        await self._trial.acquire()
        try:
            if not self._direct.is_fresh():
                return await self._send_unawaited(request, seconds)
        finally:
            self._trial.release()
        return await self._send_unawaited(request, seconds)

    async def _send_unawaited(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        if self._direct.is_in_order:
            return await self._send_directly(request, seconds)
        peer = self._peer()
        if peer is None:
            raise http_exchange.NotConnected('the store is away')
        return await self._through_peers(peer, request, seconds)

    def expect_return(self) -> None:
        """Probe now: another instance reaches the store again."""
        self._direct.probe_now()

    async def send(self, request: OutgoingRequest, seconds: float) -> Reply:
        """Return the store's answer.

        Raises NotConnected if the store did not get the call, else
        ExchangeBroken.
        """
        self._direct.await_return()
        started_at = self._clock.seconds()
        if not self._direct.is_in_order:
            peer = self._peer()
            if peer is not None:
                try:
                    return await self._through_peers(peer, request, seconds)
                except http_exchange.NotConnected:
                    # Where the store was away from everybody, it is back
                    # for all of them before their probes show it.
                    if self._clock.seconds() >= started_at + seconds:
                        raise
        return await self._send_directly(request, seconds)

    async def _send_directly(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        """Send a call directly, and through a peer if that fails."""
        try:
            reply = await self._directly(request, seconds)
        except (
            http_exchange.NotConnected,
            http_exchange.ExchangeBroken,
        ) as error:
            self._direct.lose(repr(error))
            peer = self._peer()
            if peer is None:
                raise
            return await self._through_peers(peer, request, seconds)
        if not store_module.is_turned_away(reply.head.status):
            self._direct.regain()
            return reply
        self._direct.lose(f'status {reply.head.status}')
        peer = self._peer()
        if peer is None:
            return reply
        return await self._through_peers(peer, request, seconds)

    async def pass_on(self, request: SmallRequest) -> Page:
        """Send a peer's call to the store, directly only."""
        outgoing = http_exchange.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=(
                ('Host', self._state.settings.store_address),
                ('Content-Type', 'application/json'),
            ),
            body=request.body,
        )
        if not self._direct.is_in_order:
            return Page(status=STATUS_NOT_REACHED)
        try:
            reply = await self._directly(outgoing, MAX_PASSED_ON)
        except http_exchange.NotConnected:
            return Page(status=STATUS_NOT_REACHED)
        except http_exchange.ExchangeBroken:
            return Page(status=STATUS_UNCLEAR)
        if store_module.is_turned_away(reply.head.status):
            # The next peer that asks is told at once, and the one that asked
            # goes on to another: both would be refused here.
            self._direct.lose(f'status {reply.head.status}')
            return Page(status=STATUS_NOT_REACHED)
        return Page(status=reply.head.status, body=reply.body)

    async def pause(self, seconds: float) -> None:
        """Wait some seconds before a call is tried again.

        Where no peer reaches the store either, waits until a probe shows it
        or peers may be asked again. Sixty instances that each tried several
        reads twice a second made 2,400 paid calls in an outage of 4.5 s,
        and met the store with all of them at its return.
        """
        if self._direct.is_in_order or self._peer() is not None:
            await task.deferLater(self._clock, seconds)
            return
        waiting: defer.Deferred[None] = defer.Deferred()
        self._waiting.add(waiting)
        timer = self._clock.callLater(PEER_OUT_SECONDS, waiting.callback, None)
        try:
            await waiting
        finally:
            self._waiting.discard(waiting)
            if timer.active():
                timer.cancel()

    async def _directly(
        self, request: OutgoingRequest, seconds: float
    ) -> Reply:
        address = self._state.settings.store_address
        return await self._exchange('direct', address, request, seconds)

    async def _exchange(
        self, way: str, address: str, request: OutgoingRequest, seconds: float
    ) -> Reply:
        started_at = self._clock.seconds()
        deadline = Instant(started_at + seconds)
        end = 'no answer'
        try:
            reply = await self._links.exchange(address, request, deadline)
            end = f'status {reply.head.status}'
            return reply
        finally:
            meters.STORE_CALLS.labels(way, end).inc()
            if seconds <= store_module.CALL_SECONDS + HOP_SECONDS:
                took = self._clock.seconds() - started_at
                meters.STORE_SECONDS.labels(way).observe(took)

    async def _through_peers(
        self, peer: InstanceRecord, request: OutgoingRequest, seconds: float
    ) -> Reply:
        """Ask one peer after the other until one passes the call on.

        A holder that gave up at the first one lost its duty: where a third
        of the instances was cut off, each third peer was cut off as well.
        A peer that did not get the call did nothing, so the next one may
        be asked; one that may have passed it on ends the call.
        """
        deadline = self._clock.seconds() + seconds + HOP_SECONDS
        while True:
            left = deadline - self._clock.seconds()
            try:
                return await self._through(peer, request, left)
            except http_exchange.NotConnected:
                following = self._peer()
                if following is None or self._clock.seconds() >= deadline:
                    raise
                peer = following

    async def _through(
        self, peer: InstanceRecord, request: OutgoingRequest, seconds: float
    ) -> Reply:
        try:
            reply = await self._exchange(
                'peer', peer.peer_address, request, seconds
            )
        except (http_exchange.NotConnected, http_exchange.ExchangeBroken):
            self._leave_out(peer)
            raise
        if reply.head.status == STATUS_NOT_REACHED:
            self._leave_out(peer)
            raise http_exchange.NotConnected('a peer does not reach the store')
        if reply.head.status == STATUS_UNCLEAR:
            self._leave_out(peer)
            raise http_exchange.ExchangeBroken('a peer got no answer')
        self._peers.keep(peer.instance)
        return reply

    def _peer(self) -> InstanceRecord | None:
        known = len(self._state.instances_by_id)
        enough = min(known // INSTANCES_PER_PEER_OUT, MAX_PEERS_OUT)
        if self._peers.count_out() >= max(enough, MIN_PEERS_OUT):
            return None
        return self._peers.choose()

    async def _probe(self) -> bool:
        """Tell whether the store answers directly."""
        host = self._state.settings.store_address
        try:
            reply = await self._directly(
                store_module.probe(host), direct_way.PROBE_TIMEOUT
            )
        except (http_exchange.NotConnected, http_exchange.ExchangeBroken):
            return False
        return not store_module.is_turned_away(reply.head.status)

    def _regained(self) -> None:
        self._peers.clear()
        for waiting in list(self._waiting):
            self._waiting.discard(waiting)
            waiting.callback(None)

    def _leave_out(self, peer: InstanceRecord) -> None:
        self._peers.leave_out(peer.instance, PEER_OUT_SECONDS)


class BackgroundWay:
    """Carry calls that nobody waits for."""

    def __init__(self, way: StoreWay) -> None:
        self._way = way

    async def send(self, request: OutgoingRequest, seconds: float) -> Reply:
        """Return the store's answer; raises as the way does."""
        return await self._way.send_in_background(request, seconds)

    async def pause(self, seconds: float) -> None:
        """Wait before a call is tried again, longer while it can't work."""
        await self._way.pause(seconds)

    def expect_return(self) -> None:
        """Find out soon whether the direct way is in order again."""
        self._way.expect_return()
