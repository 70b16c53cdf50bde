"""The session under which an instance holds all its shards."""

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
        self._slot = operations.CallSlot(numbers)
        self._serial = 0
        self._beat = 0
        # None if the key's version must be read before the next write.
        self._version: int | None = None
        self._record: SessionRecord | None = None
        self._predecessor_staleness = staleness.Staleness(policy)
        self._sent_at_by_beat: dict[int, Instant] = {}
        self._usable_until = _NEVER
        self._renew_at = _NEVER
        self._life_cycle = life_cycle.new()
        self.state = self._life_cycle.state()
        self.id: SessionId | None = None

    def is_usable(self, now: Instant) -> bool:
        """Return whether an order may be sent under this session."""
        # A holder paused past its lease must not send orders beside its
        # successor, so each order checks the clock. The deadline counts
        # from the sending of the renewal: counted from a slow reply, it
        # would end after a successor may revoke the session.
        return now < self._usable_until and self.state is OwnState.OPEN

    def close(self) -> None:
        """Stop using the session and release it with the next write."""
        self._advance(self._life_cycle.close)

    def next_operation(
        self, now: Instant, is_needed: bool
    ) -> operations.Operation | None:
        """Return the store call that is due."""
        if not self._slot.is_free(now):
            return None
        match self.state:
            case OwnState.CLOSED if not is_needed:
                return None
            case _ if self._version is None:
                return self._slot.send(Step.READ_OWN, self._key, now)
            case OwnState.CLOSED if self._has_active_predecessor():
                return self._slot.send(Step.READ_OWN, self._key, now)
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
        """Process the outcome of a store call."""
        if not self._slot.release(operation):
            return
        match outcome:
            case operations.Found(version, value):
                self._version = version
                self._record = session_module.decode(version, value)
                self._apply_record(now)
            case operations.Written(version):
                assert operation.value is not None
                self._version = version
                self._record = session_module.decode(version, operation.value)
                self._apply_record(now)
            case operations.Conflict():
                self._version = None
            case operations.Unknown():
                self._version = None
                self._predecessor_staleness.fail()
                self._slot.not_before = Instant(now + self._policy.retry_delay)

    def _advance(self, step: Callable[[], None]) -> None:
        step()
        # Cached because each order and each tick reads the state.
        self.state = self._life_cycle.state()

    def _apply_record(self, now: Instant) -> None:
        is_own = not session_module.has_ended(
            self._record, self.id or _NO_SESSION
        )
        match self.state:
            case OwnState.OPENING | OwnState.OPEN if is_own and self._record:
                self._confirm(self._record)
            case OwnState.CLOSING if is_own and self._record:
                pass
            case _:
                self._end()
        if self.state is OwnState.CLOSED and self._version is not None:
            self._watch_predecessor(self._version, now)

    def _confirm(self, record: SessionRecord) -> None:
        # The reply to a renewal may be lost after the write took effect;
        # the beat in the record read back identifies its sending time.
        sent_at = self._sent_at_by_beat.get(record.beat, _NEVER)
        self._sent_at_by_beat = {
            beat: instant
            for beat, instant in self._sent_at_by_beat.items()
            if beat >= record.beat
        }
        self._advance(self._life_cycle.confirm)
        self._usable_until = max(
            self._usable_until, Instant(sent_at + self._policy.usable_time)
        )
        self._renew_at = Instant(sent_at + self._policy.renewal_period)

    def _end(self) -> None:
        self._advance(self._life_cycle.end)
        self.id = None
        self._usable_until = _NEVER
        self._sent_at_by_beat.clear()

    def _watch_predecessor(self, version: int, now: Instant) -> None:
        self._predecessor_staleness.observe(version, now)
        if self._has_active_predecessor():
            self._slot.not_before = self._predecessor_staleness.next_read(now)

    def _has_active_predecessor(self) -> bool:
        # An earlier process of the same instance may be paused, not dead,
        # and act until its lease expires, so the new process waits for the
        # expiry and takes over none of the shards.
        if self._record is None:
            return False
        if self._record.state is not session_module.SessionState.ACTIVE:
            return False
        if self._record.incarnation == self._incarnation:
            return False
        return not self._predecessor_staleness.is_stale()

    def _open(self, now: Instant) -> operations.Operation:
        # Each attempt has its own session id, so that a late write can't
        # revive a revoked or closed session.
        self._serial += 1
        self.id = SessionId(f'{self._incarnation}.{self._serial}')
        self._advance(self._life_cycle.begin)
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
        return self._slot.send(
            step, self._key, now, session_module.encode(record), self._version
        )


_NO_SESSION = SessionId('')
