"""Count the requests of accounts here, and tell the holder of the duty."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WallTime
from yuccarill.core.usage import counts as counts_module
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.usage import messages
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.ids import AccountName
    from yuccarill.core.usage.windows import UsagePolicy
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord
    from yuccarill.daemon.gateway.usage.clock import FleetClock
    from yuccarill.daemon.gateway.usage.reporter import UsageReporter

log = logs.for_part('usage')

# Seconds between messages where something was counted. A process that is
# killed takes what it counted since; of a window of 5 s that is 3% at worst.
TELL_SECONDS = 0.3
# Seconds for one answer.
ANSWER_SECONDS = 0.8
# Messages a second that the holder gets of all instances that have counted
# nothing; they carry clocks only. 410 instances send one in 20 s each.
IDLE_MESSAGES = 20.0
MIN_IDLE_SECONDS = 2.0


class UsageCounter:
    """Hold this process's counts until they are reported."""

    def __init__(
        self,
        policy: UsagePolicy,
        state: GatewayState,
        fleet_clock: FleetClock,
        reporter: UsageReporter,
        peers: PeerCalls,
        clock: Any,
    ) -> None:
        self.own = counts_module.LocalCounts()
        self._policy = policy
        self._state = state
        self._fleet_clock = fleet_clock
        self._reporter = reporter
        self._peers = peers
        self._clock = clock
        # A restarted process counts anew, and must not hide what the one
        # before it has told.
        self._source = Incarnation(uuid.uuid4().hex[:12])
        # What was told last, and to whom.
        self._told = -1
        self._told_at = -MIN_IDLE_SECONDS
        self._told_to = ''
        self._sending: defer.Deferred[None] | None = None
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = clock

    def start(self) -> None:
        """Begin to tell."""
        self._ticker.start(TELL_SECONDS).addErrback(self._failed)

    def stop(self) -> None:
        """Tell nothing more."""
        if self._ticker.running:
            self._ticker.stop()

    def began(self, account: AccountName, at: Instant) -> None:
        """Count a request that began to run at an instant."""
        ago = self._clock.seconds() - at
        began_at = WallTime(self._fleet_clock.now() - ago)
        window = self._policy.window_at(began_at)
        if self.own.add(window, account):
            meters.USAGE_COUNTED.inc()
            return
        meters.USAGE_LOST.inc()
        log.warning('Usage lost: its window is reported.', window=window)

    def _tick(self) -> None:
        lost = self.own.drop_excess()
        if lost:
            meters.USAGE_LOST.inc(lost)
            log.error('Usage lost: nobody reports it.', requests=lost)
        if self._sending is not None or not self._is_due():
            return
        self._sending = defer.Deferred.fromCoroutine(self.tell())
        self._sending.addErrback(self._failed)
        self._sending.addBoth(self._sent)

    def _is_due(self) -> bool:
        holder = self._reporter.holder()
        if holder is None:
            return False
        if holder != self._told_to or self._told != self.own.changes:
            return True
        instances = len(self._state.instances_by_id)
        idle = max(MIN_IDLE_SECONDS, instances / IDLE_MESSAGES)
        return bool(self._clock.seconds() >= self._told_at + idle)

    async def tell(self) -> None:
        """Tell the holder everything that is not reported yet."""
        holder = self._reporter.holder()
        if holder is None:
            return
        changes = self.own.changes
        message = messages.CountMessage(
            instance=self._state.settings.instance,
            source=self._source,
            wall=self._fleet_clock.wall(),
            counts_by_window=self.own.counts_by_window,
        )
        answer: messages.CountAnswer | None = None
        peer = self._state.instances_by_id.get(holder)
        if holder == self._state.settings.instance:
            answer = self._reporter.take(message)
        elif peer is not None:
            answer = await self._ask(peer, message)
        if answer is None:
            return
        self.own.close(answer.closed_through)
        self._told, self._told_to = changes, holder
        self._told_at = self._clock.seconds()

    async def _ask(
        self, peer: InstanceRecord, message: messages.CountMessage
    ) -> messages.CountAnswer | None:
        sent_at = self._clock.seconds()
        try:
            answer = await self._peers.ask(
                peer,
                'POST',
                messages.PATH,
                ANSWER_SECONDS,
                messages.CountAnswer,
                message,
            )
        except peer_call.PeerFailed as error:
            meters.USAGE_NOT_TOLD.inc()
            log.debug('Usage not told.', peer=peer.instance, cause=str(error))
            return None
        self._fleet_clock.follow(answer.now, self._clock.seconds() - sent_at)
        return answer

    def _sent(self, _: object) -> None:
        self._sending = None

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Usage not told.', cause=failure.getTraceback())
