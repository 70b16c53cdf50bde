"""Watch holders' sessions and revoke those that stopped."""

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
    """Watch one session until it has ended."""

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
        self._lane = operations.Lane(numbers)
        self._staleness = staleness.Staleness(policy)
        self._version = 0
        self._record: SessionRecord | None = None
        self.has_ended = False

    def set_pace(self, pace: float) -> None:
        """Set how many renewal periods to wait between reads."""
        if pace < self._pace:
            self._lane.not_before = Instant(float('-inf'))
        self._pace = pace

    def next_operation(self, now: Instant) -> operations.Operation | None:
        """Return the call that is due."""
        if self.has_ended or not self._lane.is_free(now):
            return None
        if not self._staleness.is_stale():
            return self._lane.send(Step.READ_PEER, self._key, now)
        # Not being reachable from here says nothing of a holder: only a
        # session that stood still is ended, and by a compare-and-swap that
        # fails if a renewal came after all. A holder that renews late then
        # finds its session revoked and does not come back to its shards.
        revoked = session_module.SessionRecord(
            incarnation=self._record.incarnation if self._record else _NONE,
            session=self._session,
            beat=0,
            state=session_module.SessionState.REVOKED,
        )
        return self._lane.send(
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
        """Take the outcome of a call."""
        if not self._lane.settle(operation):
            return
        match outcome:
            case operations.Found(version, value):
                self._version = version
                self._record = session_module.decode(version, value)
                self._staleness.observe(version, now)
                self._lane.not_before = self._staleness.next_read(
                    now, self._pace
                )
                if self._staleness.is_stale():
                    self._lane.not_before = now
                self.has_ended = session_module.has_ended(
                    self._record, self._session
                )
            case operations.Written():
                self.has_ended = True
            case operations.Conflict():
                self._staleness.fail()
            case operations.Unknown():
                self._staleness.fail()
                self._lane.not_before = Instant(now + self._policy.retry_delay)


class Watching:
    """Watch several sessions and remember which have ended."""

    def __init__(self, policy: LeasePolicy, numbers: Iterator[int]) -> None:
        self._policy = policy
        self._numbers = numbers
        self._watches_by_holder: dict[Holder, SessionWatch] = {}

    def set_watched(self, paces_by_holder: Mapping[Holder, float]) -> None:
        """Watch these holders and no others, each at its pace."""
        # A read that was sent before the session stood in the table could
        # show the one before it and pass for proof of its end, so each
        # session gets a watch of its own with reads of its own.
        self._watches_by_holder = {
            holder: self._watches_by_holder.get(holder)
            or SessionWatch(holder, self._policy, self._numbers)
            for holder in paces_by_holder
        }
        for holder, pace in paces_by_holder.items():
            self._watches_by_holder[holder].set_pace(pace)

    def ended(self) -> set[SessionId]:
        """Return the watched sessions that have ended for good."""
        return {
            holder.session
            for holder, watch in self._watches_by_holder.items()
            if watch.has_ended
        }

    def next_operations(
        self, now: Instant
    ) -> list[tuple[SessionWatch, operations.Operation]]:
        """Return the calls that are due, each with its watch."""
        due = []
        for watch in self._watches_by_holder.values():
            operation = watch.next_operation(now)
            if operation is not None:
                due.append((watch, operation))
        return due


# Stands in the place of a record that the platform has lost.
_NONE = Incarnation('')
