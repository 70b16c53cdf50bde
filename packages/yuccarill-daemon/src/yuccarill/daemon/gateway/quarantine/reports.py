"""Tell the other instances which requests ended targets."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters.small_server import Page
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import end_messages
from yuccarill.daemon.gateway.quarantine.end_messages import EndMessage
from yuccarill.daemon.gateway.quarantine.end_messages import Quarantined
from yuccarill.daemon.gateway.quarantine.end_messages import Told
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
# Calls of peers at the same time. 410 connections in one moment would hold a
# small instance up; a third of 165 instances that do not answer must not keep
# the others waiting for longer than one call takes.
TOLD_AT_ONCE = 64
# Seconds for one peer's answer, between tries, and after which no more are
# made: one that is away for longer reads what is in the store.
ANSWER_SECONDS = 0.8
RETRY_SECONDS = 0.4
TELL_SECONDS = 10.0
# Seconds after its start in which an instance asks a peer for what was told
# before, and between its tries. It knows its peers when it is ready, and what
# it sends on before it knows the rest may end a target.
ASK_SECONDS = 0.25
# Times that it tries.
MAX_TRIES = 20
# Seconds between looks at what no longer counts.
EXPIRE_SECONDS = 30.0


@dataclasses.dataclass
class _Outbox:
    """Hold what a peer is still to be told; one call at a time goes to it."""

    waiting: list[Told] = dataclasses.field(default_factory=list)
    is_sending: bool = False


class EndReports:
    """Exchange with the other instances what the guard goes by.

    Each instance is told directly: which targets end has to be known while
    the store is away too, and before the next try of a caller.
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
        self._turns = defer.DeferredSemaphore(TOLD_AT_ONCE)
        self._expiring = task.LoopingCall(guard.expire)
        self._expiring.clock = clock

    def start(self) -> None:
        """Begin to exchange."""
        self._guard.on_end = self._tell_end
        self._guard.on_doubted = self._tell_doubts
        self._guard.on_completed = self._tell_completed
        self._guard.on_trial = self._tell_trial
        self._expiring.start(EXPIRE_SECONDS, now=False)
        asking = defer.Deferred.fromCoroutine(self._ask())
        asking.addErrback(self._failed)

    def tell(self, message: EndMessage) -> None:
        """Tell every other instance."""
        told = Told(message, Instant(self._clock.seconds()))
        me = self._state.settings.instance
        for name in self._state.instances_by_id:
            if name == me:
                continue
            outbox = self._outboxes_by_peer.setdefault(name, _Outbox())
            outbox.waiting.append(told)
            if not outbox.is_sending:
                outbox.is_sending = True
                sending = defer.Deferred.fromCoroutine(
                    self._empty(name, outbox)
                )
                sending.addErrback(self._failed)
                sending.addBoth(self._emptied, name)

    def tell_quarantined(self, content: ContentDigest) -> None:
        """Tell every other instance that a content is refused from now on."""
        now = self._clock.seconds()
        left = self._guard.ledger.seconds_left(content, now)
        self.tell(
            EndMessage(
                quarantined=(Quarantined(content=content, seconds=left),)
            )
        )

    async def handle(self, request: SmallRequest) -> Page:
        """Take what a peer tells, or tell it everything."""
        if request.method == 'GET':
            return _page(self._everything())
        try:
            message = msgspec.msgpack.decode(request.body, type=EndMessage)
        except msgspec.MsgspecError as error:
            log.warning('Message not taken.', cause=str(error))
            return Page(status=400)
        self._take(message)
        contents = [c for end in message.ends for c in end.contents]
        completed = self._guard.ledger.known_completed(
            contents, self._clock.seconds()
        )
        return _page(EndMessage(completed=completed))

    def _take(self, message: EndMessage) -> None:
        for content in message.completed:
            self._guard.completed_elsewhere(content)
        for content in message.tried:
            self._guard.tried_elsewhere(content)
        for each in message.quarantined:
            self._guard.quarantine(each.content, each.seconds)
        for content in message.released:
            self._guard.release(content)
        self._guard.doubted_elsewhere(message.doubts)
        self._guard.take(message.ends)

    def _everything(self) -> EndMessage:
        now = self._clock.seconds()
        ledger = self._guard.ledger
        return EndMessage(
            ends=ledger.reports(now),
            quarantined=tuple(
                Quarantined(content=c, seconds=ledger.seconds_left(c, now))
                for c in ledger.quarantined()
            ),
        )

    def _tell_end(self, report: CrashReport) -> None:
        self.tell(EndMessage(ends=(report,)))

    def _tell_doubts(self, doubts: tuple[CrashReport, ...]) -> None:
        self.tell(EndMessage(doubts=doubts))

    def _tell_completed(self, content: ContentDigest) -> None:
        self.tell(EndMessage(completed=(content,)))

    def _tell_trial(self, content: ContentDigest) -> None:
        self.tell(EndMessage(tried=(content,)))

    async def _empty(self, name: InstanceId, outbox: _Outbox) -> None:
        """Send a peer what waits for it, until nothing is left."""
        waiting = outbox.waiting
        cause = ''
        while waiting:
            peer = self._state.instances_by_id.get(name)
            now = Instant(self._clock.seconds())
            if peer is None or now >= waiting[0].at + TELL_SECONDS:
                log.warning('Peer not told.', peer=name, cause=cause)
                del waiting[0]
                continue
            count = len(waiting)
            try:
                answer = await self._send(
                    peer, end_messages.merged(waiting, now)
                )
            except (peer_call.PeerFailed, msgspec.MsgspecError) as error:
                cause = str(error)
                await task.deferLater(self._clock, RETRY_SECONDS)
                continue
            del waiting[:count]
            # The peer has seen runs of them that a target finished.
            for content in answer.completed:
                self._guard.completed(content)

    def _emptied(self, _: object, name: InstanceId) -> None:
        del self._outboxes_by_peer[name]

    async def _send(
        self, peer: InstanceRecord, message: EndMessage
    ) -> EndMessage:
        # The turn is given back before the next try: peers that are down
        # for long would hold all turns, and nobody else would be told.
        await self._turns.acquire()
        try:
            reply = await self._peers.call(
                peer,
                'POST',
                PATH,
                ANSWER_SECONDS,
                msgspec.msgpack.encode(message),
            )
        finally:
            self._turns.release()
        return msgspec.msgpack.decode(reply, type=EndMessage)

    async def _ask(self) -> None:
        """Learn what was told before this instance started."""
        for _ in range(MAX_TRIES):
            await task.deferLater(self._clock, ASK_SECONDS)
            me = self._state.settings.instance
            peers = [
                peer
                for peer in self._state.serving_instances()
                if peer.instance != me
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
                self._take(msgspec.msgpack.decode(body, type=EndMessage))
            except (peer_call.PeerFailed, msgspec.MsgspecError) as error:
                log.info('Peer not asked.', cause=str(error))
                continue
            return

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Exchange failed.', cause=failure.getTraceback())


def _page(message: EndMessage) -> Page:
    return Page(
        status=200,
        content_type='application/msgpack',
        body=msgspec.msgpack.encode(message),
    )
