"""Count the requests of accounts and send the counts to the reporter."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WallTime
from yuccarill.core.usage import counts as counts_module
from yuccarill.daemon.gateway import background
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

# Seconds between messages with new counts; a killed process loses the counts
# since its last message.
SEND_SECONDS = 0.3
ANSWER_SECONDS = 0.8
# Messages per second of all instances together while none has new counts; the
# messages keep the wall clocks known.
IDLE_MESSAGES_PER_SECOND = 20.0
MIN_IDLE_SECONDS = 2.0


class UsageCounter:
    """Hold the counts of this process until they are reported."""

    def __init__(
        self,
        policy: UsagePolicy,
        state: GatewayState,
        fleet_clock: FleetClock,
        reporter: UsageReporter,
        peers: PeerCalls,
        clock: Any,
    ) -> None:
        self.counts = counts_module.LocalCounts()
        self._policy = policy
        self._state = state
        self._fleet_clock = fleet_clock
        self._reporter = reporter
        self._peers = peers
        self._clock = clock
        # New per process: counts sent after a restart must not replace those
        # of the earlier process.
        self._source = Incarnation(uuid.uuid4().hex[:12])
        # The last message that was answered: changes, time and receiver.
        self._sent_changes = -1
        self._sent_at = -MIN_IDLE_SECONDS
        self._sent_to = ''
        self._sending: defer.Deferred[None] | None = None
        self._ticker = background.ticker(self._tick, 'usage counts', clock)

    def start(self) -> None:
        """Start sending counts."""
        self._ticker.start(SEND_SECONDS).addErrback(self._log_failure)

    def stop(self) -> None:
        """Stop sending counts."""
        if self._ticker.running:
            self._ticker.stop()

    def count_request(self, account: AccountName, at: Instant) -> None:
        """Count a request in the window in which it began to run."""
        age = self._clock.seconds() - at
        began_at = WallTime(self._fleet_clock.now() - age)
        window = self._policy.window_at(began_at)
        if self.counts.add(window, account):
            meters.USAGE_COUNTED.inc()
            return
        meters.USAGE_LOST.inc()
        log.warning('Usage lost: window already closed.', window=window)

    def _tick(self) -> None:
        lost = self.counts.drop_excess()
        if lost:
            meters.USAGE_LOST.inc(lost)
            log.error('Usage lost: no instance reports it.', requests=lost)
        if self._sending is not None or not self._is_due():
            return
        self._sending = defer.Deferred.fromCoroutine(self.send())
        self._sending.addErrback(self._log_failure)
        self._sending.addBoth(self._clear_sending)

    def _is_due(self) -> bool:
        holder = self._reporter.holder()
        if holder is None:
            return False
        if (
            holder != self._sent_to
            or self._sent_changes != self.counts.changes
        ):
            return True
        instances = len(self._state.instances_by_id)
        idle = max(MIN_IDLE_SECONDS, instances / IDLE_MESSAGES_PER_SECOND)
        return bool(self._clock.seconds() >= self._sent_at + idle)

    async def send(self) -> None:
        """Send all unreported counts to the instance that reports them."""
        holder = self._reporter.holder()
        if holder is None:
            return
        changes = self.counts.changes
        message = messages.CountMessage(
            instance=self._state.settings.instance,
            source=self._source,
            wall=self._fleet_clock.wall(),
            counts_by_window=self.counts.counts_by_window,
        )
        answer: messages.CountAnswer | None = None
        peer = self._state.instances_by_id.get(holder)
        if holder == self._state.settings.instance:
            answer = self._reporter.merge(message)
        elif peer is not None:
            answer = await self._call_holder(peer, message)
        if answer is None:
            return
        self.counts.close(answer.closed_through)
        self._sent_changes, self._sent_to = changes, holder
        self._sent_at = self._clock.seconds()

    async def _call_holder(
        self, peer: InstanceRecord, message: messages.CountMessage
    ) -> messages.CountAnswer | None:
        sent_at = self._clock.seconds()
        try:
            answer = await self._peers.call_decoded(
                peer,
                'POST',
                messages.PATH,
                ANSWER_SECONDS,
                messages.CountAnswer,
                message,
            )
        except peer_call.PeerFailed as error:
            meters.USAGE_NOT_SENT.inc()
            log.debug('Usage not sent.', peer=peer.instance, cause=str(error))
            return None
        self._fleet_clock.adopt(answer.now, self._clock.seconds() - sent_at)
        return answer

    def _clear_sending(self, _: object) -> None:
        self._sending = None

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Usage sending failed.', cause=failure.getTraceback())
