"""Exchange reports of crashed targets with the other instances."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import decoding
from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import end_messages
from yuccarill.daemon.gateway.quarantine.end_messages import EndMessage
from yuccarill.daemon.gateway.quarantine.end_messages import Quarantined
from yuccarill.daemon.gateway.quarantine.end_messages import QueuedMessage
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('quarantine')

PATH = '/quarantine'
# Concurrent calls to peers: few enough not to overload a small instance, and
# enough that peers that do not answer delay the others by one call at most.
MAX_CONCURRENT_CALLS = 64
ANSWER_SECONDS = 0.8
RETRY_SECONDS = 0.4
# Seconds after which a message is dropped; the peer reads the store later.
TTL_SECONDS = 10.0
# Seconds from the start to the first request for earlier reports, and between
# attempts. Short: until then this instance can send quarantined requests.
FETCH_INTERVAL_SECONDS = 0.25
MAX_FETCHES = 20
# Seconds between removals of expired quarantines.
EXPIRE_SECONDS = 30.0


@dataclasses.dataclass
class _Outbox:
    """Hold the messages queued for a peer, which gets one call at a time."""

    messages: list[QueuedMessage] = dataclasses.field(default_factory=list)
    is_sending: bool = False


class CrashExchange:
    """Exchange the data of the crash guard with the other instances.

    Each instance is called directly: reports have to arrive before a client's
    next retry, also while the store is unavailable.
    """

    def __init__(
        self,
        state: GatewayState,
        guard: ContentGuard,
        peers: PeerCalls,
        clock: Any,
    ) -> None:
        self._state = state
        self._guard = guard
        self._peers = peers
        self._clock = clock
        self._outboxes_by_peer: dict[InstanceId, _Outbox] = {}
        self._call_slots = defer.DeferredSemaphore(MAX_CONCURRENT_CALLS)
        self._expiry_loop = background.ticker(
            guard.expire, 'quarantine expiry', clock
        )

    def start(self) -> None:
        """Start the exchange and fetch earlier reports from a peer."""
        self._guard.on_crash = self._send_crash
        self._guard.on_lost_calls = self._send_losses
        self._guard.on_completed = self._send_completion
        self._guard.on_trial = self._send_trial
        self._expiry_loop.start(EXPIRE_SECONDS, now=False)
        fetching = defer.Deferred.fromCoroutine(self._fetch_earlier())
        fetching.addErrback(self._log_failure)

    def send(self, message: EndMessage) -> None:
        """Queue a message for every other instance."""
        queued = QueuedMessage(message, Instant(self._clock.seconds()))
        own_id = self._state.settings.instance
        for name in self._state.instances_by_id:
            if name == own_id:
                continue
            outbox = self._outboxes_by_peer.setdefault(name, _Outbox())
            outbox.messages.append(queued)
            if not outbox.is_sending:
                outbox.is_sending = True
                sending = defer.Deferred.fromCoroutine(
                    self._drain(name, outbox)
                )
                sending.addErrback(self._log_failure)
                sending.addBoth(self._remove_outbox, name)

    def send_quarantine(self, content: ContentDigest) -> None:
        """Send a new quarantine to every other instance."""
        now = self._clock.seconds()
        left = self._guard.ledger.seconds_left(content, now)
        self.send(
            EndMessage(
                quarantined=(Quarantined(content=content, seconds=left),)
            )
        )

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Handle a message of a peer, or return all current reports."""
        if request.method == 'GET':
            return _page(self._snapshot())
        try:
            message = decoding.from_msgpack(request.body, EndMessage)
        except msgspec.MsgspecError as error:
            log.warning('Invalid peer message rejected.', cause=str(error))
            return SmallResponse(status=400)
        self._apply(message)
        contents = [c for end in message.ends for c in end.contents]
        completed = self._guard.ledger.known_completed(
            contents, self._clock.seconds()
        )
        return _page(EndMessage(completed=completed))

    def _apply(self, message: EndMessage) -> None:
        for content in message.completed:
            self._guard.record_peer_completion(content)
        for content in message.tried:
            self._guard.record_peer_trial(content)
        for each in message.quarantined:
            self._guard.quarantine(each.content, each.seconds)
        for content in message.released:
            self._guard.release(content)
        self._guard.record_peer_losses(message.doubts)
        self._guard.record_peer_crashes(message.ends)

    def _snapshot(self) -> EndMessage:
        now = self._clock.seconds()
        ledger = self._guard.ledger
        return EndMessage(
            ends=ledger.reports(now),
            quarantined=tuple(
                Quarantined(content=c, seconds=ledger.seconds_left(c, now))
                for c in ledger.quarantined()
            ),
        )

    def _send_crash(self, report: CrashReport) -> None:
        self.send(EndMessage(ends=(report,)))

    def _send_losses(self, losses: tuple[CrashReport, ...]) -> None:
        self.send(EndMessage(doubts=losses))

    def _send_completion(self, content: ContentDigest) -> None:
        self.send(EndMessage(completed=(content,)))

    def _send_trial(self, content: ContentDigest) -> None:
        self.send(EndMessage(tried=(content,)))

    async def _drain(self, name: InstanceId, outbox: _Outbox) -> None:
        """Send the queued messages to a peer until none is left."""
        messages = outbox.messages
        cause = ''
        while messages:
            peer = self._state.instances_by_id.get(name)
            now = Instant(self._clock.seconds())
            if peer is None or now >= messages[0].queued_at + TTL_SECONDS:
                log.warning('Peer message dropped.', peer=name, cause=cause)
                del messages[0]
                continue
            count = len(messages)
            try:
                answer = await self._send(
                    peer, end_messages.merge(messages, now)
                )
            except (peer_call.PeerFailed, msgspec.MsgspecError) as error:
                cause = str(error)
                await task.deferLater(self._clock, RETRY_SECONDS)
                continue
            del messages[:count]
            # The peer answers with the contents that completed a run there.
            for content in answer.completed:
                self._guard.record_completion(content)

    def _remove_outbox(self, _: object, name: InstanceId) -> None:
        del self._outboxes_by_peer[name]

    async def _send(
        self, peer: InstanceRecord, message: EndMessage
    ) -> EndMessage:
        # The semaphore is released between retries: otherwise peers that are
        # down would block messages to all others.
        await self._call_slots.acquire()
        try:
            reply = await self._peers.call(
                peer,
                'POST',
                PATH,
                ANSWER_SECONDS,
                msgspec.msgpack.encode(message),
            )
        finally:
            self._call_slots.release()
        return decoding.from_msgpack(reply, EndMessage)

    async def _fetch_earlier(self) -> None:
        """Fetch reports sent before this instance started."""
        for _ in range(MAX_FETCHES):
            await task.deferLater(self._clock, FETCH_INTERVAL_SECONDS)
            own_id = self._state.settings.instance
            peers = [
                peer
                for peer in self._state.serving_instances()
                if peer.instance != own_id
            ]
            if not peers:
                continue
            try:
                body = await self._peers.call(
                    self._state.generator.choice(peers),
                    'GET',
                    PATH,
                    ANSWER_SECONDS,
                )
                self._apply(decoding.from_msgpack(body, EndMessage))
            except (peer_call.PeerFailed, msgspec.MsgspecError) as error:
                log.info('Crash reports not fetched.', cause=str(error))
                continue
            return

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Peer exchange failed.', cause=failure.getTraceback())


def _page(message: EndMessage) -> SmallResponse:
    return SmallResponse(
        status=200,
        content_type='application/msgpack',
        body=msgspec.msgpack.encode(message),
    )
