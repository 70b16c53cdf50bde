"""Keep this instance's session, under which it holds all its shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.ids import SessionId
from yuccarill.core.leases import life_cycle
from yuccarill.core.leases.life_cycle import OwnState
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import session as session_module
from yuccarill.core.leases import staleness

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.leases.policy import LeasePolicy
    from yuccarill.core.leases.session import SessionRecord

_NEVER = Instant(float('-inf'))


class OwnSession:
    """Open, renew and close one session after another."""

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        policy: LeasePolicy,
        numbers: Iterator[int],
    ) -> None:
        self._key = session_module.session_key(instance)
        self._incarnation = incarnation
        self._policy = policy
        self._lane = operations.Lane(numbers)
        self._serial = 0
        self._beat = 0
        # None where the key's version must be read before the next write.
        self._version: int | None = None
        self._record: SessionRecord | None = None
        self._predecessor = staleness.Staleness(policy)
        self._sent_at_by_beat: dict[int, Instant] = {}
        self._usable_until = _NEVER
        self._renew_at = _NEVER
        self._cycle = life_cycle.new()
        self.state = self._cycle.state()
        self.id: SessionId | None = None

    def is_usable(self, now: Instant) -> bool:
        """Tell whether an order may still be sent."""
        # A holder that was stopped past its lease still believes in it
        # when it goes on, and would order an engine that its successor
        # orders too. The clock is asked for each order, and the deadline
        # counts from before the renewal was sent: a slow reply must not
        # stretch it past the time at which a successor may revoke.
        return now < self._usable_until and self.state is OwnState.OPEN

    def close(self) -> None:
        """End the session; its holder acts no more from now on."""
        self._advance(self._cycle.close)

    def next_operation(
        self, now: Instant, is_wanted: bool
    ) -> operations.Operation | None:
        """Return the call that is due."""
        if not self._lane.is_free(now):
            return None
        match self.state:
            case OwnState.CLOSED if not is_wanted:
                return None
            case _ if self._version is None:
                return self._lane.send(Step.READ_OWN, self._key, now)
            case OwnState.CLOSED if self._is_taken():
                return self._lane.send(Step.READ_OWN, self._key, now)
            case OwnState.CLOSED:
                return self._open(now)
            case OwnState.OPEN if now >= self._renew_at:
                return self._write(Step.RENEW, now)
            case OwnState.CLOSING:
                return self._write(Step.CLOSE, now)
        return None

    def complete(
        self,
        operation: operations.Operation,
        outcome: operations.Outcome,
        now: Instant,
    ) -> None:
        """Take the outcome of a call."""
        if not self._lane.settle(operation):
            return
        match outcome:
            case operations.Found(version, value):
                self._version = version
                self._record = session_module.decode(version, value)
                self._settle(now)
            case operations.Written(version):
                assert operation.value is not None
                self._version = version
                self._record = session_module.decode(version, operation.value)
                self._settle(now)
            case operations.Conflict():
                self._version = None
            case operations.Unknown():
                self._version = None
                self._predecessor.fail()
                self._lane.not_before = Instant(now + self._policy.retry_delay)

    def _advance(self, step: Callable[[], None]) -> None:
        step()
        # Kept, since the state is asked for at each order and tick.
        self.state = self._cycle.state()

    def _settle(self, now: Instant) -> None:
        is_mine = not session_module.has_ended(self._record, self.id or _NONE)
        match self.state:
            case OwnState.OPENING | OwnState.OPEN if is_mine and self._record:
                self._confirm(self._record)
            case OwnState.CLOSING if is_mine and self._record:
                pass
            case _:
                self._end()
        if self.state is OwnState.CLOSED and self._version is not None:
            self._watch_predecessor(self._version, now)

    def _confirm(self, record: SessionRecord) -> None:
        # The reply to a renewal may be lost after the write took effect.
        # Its beat, read back, tells that it did and when it was sent.
        sent_at = self._sent_at_by_beat.get(record.beat, _NEVER)
        self._sent_at_by_beat = {
            beat: instant
            for beat, instant in self._sent_at_by_beat.items()
            if beat >= record.beat
        }
        self._advance(self._cycle.confirm)
        self._usable_until = max(
            self._usable_until, Instant(sent_at + self._policy.usable_time)
        )
        self._renew_at = Instant(sent_at + self._policy.renewal_period)

    def _end(self) -> None:
        self._advance(self._cycle.end)
        self.id = None
        self._usable_until = _NEVER
        self._sent_at_by_beat.clear()

    def _watch_predecessor(self, version: int, now: Instant) -> None:
        self._predecessor.observe(version, now)
        if self._is_taken():
            self._lane.not_before = self._predecessor.next_read(now)

    def _is_taken(self) -> bool:
        # A process of an earlier start under the same id may be stopped,
        # not dead, and act until its lease ends. It is waited for like any
        # other holder; nothing is inherited from it.
        if self._record is None:
            return False
        if self._record.state is not session_module.SessionState.ACTIVE:
            return False
        if self._record.incarnation == self._incarnation:
            return False
        return not self._predecessor.is_stale()

    def _open(self, now: Instant) -> operations.Operation:
        # Each try has a name of its own: a session that was revoked and
        # one that was given up can't come back to life by a late write.
        self._serial += 1
        self.id = SessionId(f'{self._incarnation}.{self._serial}')
        self._advance(self._cycle.begin)
        self._usable_until = _NEVER
        return self._write(Step.OPEN, now)

    def _write(self, step: Step, now: Instant) -> operations.Operation:
        assert self.id is not None
        assert self._version is not None
        self._beat += 1
        self._sent_at_by_beat[self._beat] = now
        state = session_module.SessionState.ACTIVE
        if step is Step.CLOSE:
            state = session_module.SessionState.RELEASED
        record = session_module.SessionRecord(
            incarnation=self._incarnation,
            session=self.id,
            beat=self._beat,
            state=state,
        )
        return self._lane.send(
            step, self._key, now, session_module.encode(record), self._version
        )


_NONE = SessionId('')
