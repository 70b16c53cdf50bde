"""Tell the other instances which requests ended targets."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway.end_ledger import EndReport
from yuccarill.core.ids import ContentDigest
from yuccarill.daemon.adapters.small_server import Page
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('quarantine')

PATH = '/quarantine'
# Peers that are told at the same time: 410 instances are told in about a
# tenth of a second, without as many connections opened in one moment.
TOLD_AT_ONCE = 16
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


class Quarantined(msgspec.Struct, frozen=True, kw_only=True):
    """Name a content that is refused, and for how much longer."""

    content: ContentDigest
    seconds: float


class EndMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one instance tells another."""

    ends: tuple[EndReport, ...] = ()
    # Contents of runs that a target finished.
    completed: tuple[ContentDigest, ...] = ()
    # Suspects that the sender has just sent on.
    tried: tuple[ContentDigest, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    released: tuple[ContentDigest, ...] = ()


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
        self._random = random.Random()
        self._turns = defer.DeferredSemaphore(TOLD_AT_ONCE)
        self._expiring = task.LoopingCall(guard.expire)
        self._expiring.clock = clock

    def start(self) -> None:
        """Begin to exchange."""
        self._guard.on_end = self._tell_end
        self._guard.on_completed = self._tell_completed
        self._guard.on_trial = self._tell_trial
        self._expiring.start(EXPIRE_SECONDS, now=False)
        asking = defer.Deferred.fromCoroutine(self._ask())
        asking.addErrback(self._failed)

    def tell(self, message: EndMessage) -> defer.Deferred[Any]:
        """Tell every other instance."""
        told_at = self._clock.seconds()
        me = self._state.settings.instance
        return defer.gatherResults(
            [
                self._turns.run(
                    defer.ensureDeferred, self._tell(peer, message, told_at)
                )
                for peer in list(self._state.instances_by_id.values())
                if peer.instance != me
            ]
        ).addErrback(self._failed)

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
            self._guard.ledger.completed(content, self._clock.seconds())
        for content in message.tried:
            self._guard.tried_elsewhere(content)
        for each in message.quarantined:
            self._guard.quarantine(each.content, each.seconds)
        for content in message.released:
            self._guard.release(content)
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

    def _tell_end(self, report: EndReport) -> None:
        self.tell(EndMessage(ends=(report,)))

    def _tell_completed(self, content: ContentDigest) -> None:
        self.tell(EndMessage(completed=(content,)))

    def _tell_trial(self, content: ContentDigest) -> None:
        self.tell(EndMessage(tried=(content,)))

    async def _tell(
        self, peer: InstanceRecord, message: EndMessage, told_at: float
    ) -> None:
        cause = ''
        while (age := self._clock.seconds() - told_at) < TELL_SECONDS:
            if peer.instance not in self._state.instances_by_id:
                return
            try:
                body = await self._peers.call(
                    peer, 'POST', PATH, ANSWER_SECONDS, _aged(message, age)
                )
                answer = msgspec.msgpack.decode(body, type=EndMessage)
            except (peer_call.PeerFailed, msgspec.MsgspecError) as error:
                cause = str(error)
                await task.deferLater(self._clock, RETRY_SECONDS)
                continue
            # The peer has seen runs of them that a target finished.
            for content in answer.completed:
                self._guard.completed(content)
            return
        log.warning('Peer not told.', peer=peer.instance, cause=cause)

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
                    self._random.choice(peers), 'GET', PATH, ANSWER_SECONDS
                )
                self._take(msgspec.msgpack.decode(body, type=EndMessage))
            except (peer_call.PeerFailed, msgspec.MsgspecError) as error:
                log.info('Peer not asked.', cause=str(error))
                continue
            return

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Exchange failed.', cause=failure.getTraceback())


def _aged(message: EndMessage, age: float) -> bytes:
    """Encode a message that was first sent some seconds ago."""
    ends = tuple(
        msgspec.structs.replace(end, age=end.age + age) for end in message.ends
    )
    return msgspec.msgpack.encode(msgspec.structs.replace(message, ends=ends))


def _page(message: EndMessage) -> Page:
    return Page(
        status=200,
        content_type='application/msgpack',
        body=msgspec.msgpack.encode(message),
    )
