"""Watch holders' sessions and revoke those no longer renewed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import Instant
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import session as session_module
from yuccarill.core.leases import staleness

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from yuccarill.core.ids import SessionId
    from yuccarill.core.leases.policy import LeasePolicy
    from yuccarill.core.leases.session import SessionRecord
    from yuccarill.core.leases.table import Holder


class SessionWatch:
    """Watch one holder's session until it has ended."""

    def __init__(
        self,
        holder: Holder,
        policy: LeasePolicy,
        numbers: Iterator[int],
    ) -> None:
        self._session = holder.session
        self._key = session_module.session_key(holder.instance)
        self._policy = policy
        self._pace = 1.0
        self._slot = operations.CallSlot(numbers)
        self._staleness = staleness.Staleness(policy)
        self._version = 0
        self._record: SessionRecord | None = None
        self.has_ended = False

    def set_pace(self, pace: float) -> None:
        """Set the read interval in renewal periods; if shorter, read now."""
        if pace < self._pace:
            self._slot.not_before = Instant(float('-inf'))
        self._pace = pace

    def next_operation(self, now: Instant) -> operations.Operation | None:
        """Return the store call that is due."""
        if self.has_ended or not self._slot.is_free(now):
            return None
        if not self._staleness.is_stale():
            return self._slot.send(Step.READ_PEER, self._key, now)
        # An unreachable holder may be alive: only a session that is no
        # longer renewed is revoked, by a compare-and-swap that fails if a
        # renewal was written. A holder that renews later finds its session
        # revoked and stays off its shards.
        revoked = session_module.SessionRecord(
            incarnation=self._record.incarnation if self._record else _UNKNOWN,
            session=self._session,
            beat=0,
            state=session_module.SessionState.REVOKED,
        )
        return self._slot.send(
            Step.REVOKE,
            self._key,
            now,
            session_module.encode(revoked),
            self._version,
        )

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
                self._staleness.observe(version, now)
                self._slot.not_before = self._staleness.next_read(
                    now, self._pace
                )
                if self._staleness.is_stale():
                    self._slot.not_before = now
                self.has_ended = session_module.has_ended(
                    self._record, self._session
                )
            case operations.Written():
                self.has_ended = True
            case operations.Conflict():
                self._staleness.fail()
            case operations.Unknown():
                self._staleness.fail()
                self._slot.not_before = Instant(now + self._policy.retry_delay)


class WatchedSessions:
    """Watch several sessions and record which have ended."""

    def __init__(self, policy: LeasePolicy, numbers: Iterator[int]) -> None:
        self._policy = policy
        self._numbers = numbers
        self._watches_by_holder: dict[Holder, SessionWatch] = {}

    def set_watched(self, paces_by_holder: Mapping[Holder, float]) -> None:
        """Replace the watched holders and their read intervals."""
        # Watches share no reads: a read sent before a session was in the
        # table could return the previous session of the same instance,
        # which would look like proof that the new session has ended.
        self._watches_by_holder = {
            holder: self._watches_by_holder.get(holder)
            or SessionWatch(holder, self._policy, self._numbers)
            for holder in paces_by_holder
        }
        for holder, pace in paces_by_holder.items():
            self._watches_by_holder[holder].set_pace(pace)

    def ended(self) -> set[SessionId]:
        """Return the watched sessions that have ended."""
        return {
            holder.session
            for holder, watch in self._watches_by_holder.items()
            if watch.has_ended
        }

    def next_operations(
        self, now: Instant
    ) -> list[tuple[SessionWatch, operations.Operation]]:
        """Return the store calls that are due, each with its watch."""
        due = []
        for watch in self._watches_by_holder.values():
            operation = watch.next_operation(now)
            if operation is not None:
                due.append((watch, operation))
        return due


# Replaces the incarnation of a record that the store has lost.
_UNKNOWN = Incarnation('')
