"""Decide which shards an instance claims, requests and transfers."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.leases import claim_scheduler
from yuccarill.core.leases import life_cycle
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import own_session
from yuccarill.core.leases import shard_placement
from yuccarill.core.leases.table import Holder
from yuccarill.core.leases import table_manager
from yuccarill.core.leases import watched_sessions

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import SessionId
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.leases.policy import LeasePolicy


class TransferRequest(msgspec.Struct, frozen=True):
    """Request the transfer of shards from their holder to a session."""

    holder: InstanceId
    session: SessionId
    shards: tuple[ShardNumber, ...]


class LeaseManager:
    """Manage one instance's leases; the caller performs the store calls."""

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        policy: LeasePolicy,
        generator: random.Random,
    ) -> None:
        self._me = instance
        self._policy = policy
        numbers = itertools.count(1)
        self._session = own_session.OwnSession(
            instance, incarnation, policy, numbers
        )
        self._tables = table_manager.TableManager(policy, generator, numbers)
        self._watched_sessions = watched_sessions.WatchedSessions(
            policy, numbers
        )
        self._placement = shard_placement.ShardPlacement(instance)
        self._claims = claim_scheduler.ClaimScheduler(policy, self._placement)
        self._pending_holders_by_shard: dict[ShardNumber, Holder | None] = {}
        self._watches_by_number: dict[int, watched_sessions.SessionWatch] = {}
        self._session_needed_until = Instant(float('-inf'))
        self._is_leaving = False
        # The table or the live instances changed since the last refresh.
        self._is_view_stale = True
        self._ended: set[SessionId] = set()

    @property
    def table(self) -> table_manager.TableManager:
        return self._tables

    def set_live(self, live: Iterable[InstanceId]) -> None:
        """Set the instances that may be given work."""
        if self._placement.set_live(live):
            self._is_view_stale = True

    def offer_table(self, version: int, data: bytes) -> None:
        """Adopt a table received from a peer if it is newer."""
        if self._tables.offer(version, data):
            self._is_view_stale = True

    def epoch_of(self, shard: ShardNumber, now: Instant) -> Epoch | None:
        """Return a shard's epoch, None if no order may be sent under it."""
        if not self._session.is_usable(now) or not self._is_held(shard):
            return None
        return self._tables.table.entries[shard].epoch

    def holder_of(self, shard: ShardNumber) -> InstanceId | None:
        """Return the last known holder of a shard."""
        holder = self._tables.table.entries[shard].holder
        return holder.instance if holder else None

    def held(self) -> list[ShardNumber]:
        """Return this session's shards, even if its lease has expired."""
        if self._session.id is None:
            return []
        held = self._tables.table.held_by(self._session.id)
        return [s for s in held if not self._tables.is_in_transfer(s)]

    def usable_session(self, now: Instant) -> SessionId | None:
        """Return the session if its lease is valid."""
        return self._session.id if self._session.is_usable(now) else None

    def next_operations(self, now: Instant) -> list[operations.Operation]:
        """Return the store calls that are due."""
        self._refresh(now)
        due = []
        own = self._session.next_operation(now, self._is_session_needed(now))
        if own is not None:
            due.append(own)
        table = self._tables.read(now) or self._next_table_write(now)
        if table is not None:
            due.append(table)
        for watch, operation in self._watched_sessions.next_operations(now):
            self._watches_by_number[operation.number] = watch
            due.append(operation)
        return due

    def complete(
        self,
        operation: operations.Operation,
        outcome: operations.Outcome,
        now: Instant,
    ) -> None:
        """Process the outcome of a store call; ignore duplicates."""
        match operation.step:
            case Step.READ_OWN | Step.OPEN | Step.RENEW | Step.CLOSE:
                session = self._session.id
                self._session.complete(operation, outcome, now)
                if session is not None and self._session.id != session:
                    # The shards of an ended session move to other holders;
                    # a paused or partitioned process may miss the updates.
                    self._is_view_stale = True
                    self._tables.request_read()
            case Step.READ_TABLE | Step.CLAIM | Step.TRANSFER | Step.RELEASE:
                if self._tables.complete(operation, outcome, now):
                    self._is_view_stale = True
            case Step.READ_PEER | Step.REVOKE:
                watch = self._watches_by_number.pop(operation.number, None)
                if watch is not None:
                    watch.complete(operation, outcome, now)

    def keep_session_open(self, until: Instant) -> None:
        """Keep a session open until a given time, to receive shards."""
        self._session_needed_until = max(self._session_needed_until, until)

    def due_transfer_requests(self, now: Instant) -> list[TransferRequest]:
        """Return the requests to send to holders, and mark them as sent."""
        session = self.usable_session(now)
        if session is None or self._is_leaving:
            return []
        shards_by_holder = self._claims.next_requests(now)
        return [
            TransferRequest(holder, session, tuple(shards))
            for holder, shards in shards_by_holder.items()
        ]

    def transfer_requested(
        self,
        to: Holder,
        shards: Iterable[ShardNumber],
        busy: frozenset[ShardNumber] = frozenset(),
    ) -> list[ShardNumber]:
        """Transfer requested shards to a peer; return the accepted ones."""
        # A shard moves only if this instance also ranks the peer higher;
        # otherwise differing membership views would move it back and forth.
        accepted = [
            shard
            for shard in shards
            if self._is_held(shard)
            and shard not in busy
            and self._may_transfer(to.instance, shard)
        ]
        self.transfer(dict.fromkeys(accepted, to))
        return accepted

    def transfer(
        self, holders_by_shard: Mapping[ShardNumber, Holder | None]
    ) -> None:
        """Transfer or free shards with the next write of the table."""
        self._pending_holders_by_shard.update(holders_by_shard)

    def begin_leaving(self) -> None:
        """Stop claiming; on request, transfer shards to any live peer."""
        self._is_leaving = True

    def next_holders(self) -> dict[ShardNumber, InstanceId | None]:
        """Stop claiming shards; return the next holder of each held one."""
        self.begin_leaving()
        next_by_shard: dict[ShardNumber, InstanceId | None] = {}
        for shard in self.held():
            order = self._placement.order(shard)
            others = [i for i in order if i != self._me]
            next_by_shard[shard] = others[0] if others else None
        return next_by_shard

    def close(self) -> bool:
        """Close the session once no shard is held; return if it is closed."""
        if not self.held():
            self._session.close()
        return self._session.state is life_cycle.OwnState.CLOSED

    def _is_held(self, shard: ShardNumber) -> bool:
        holder = self._tables.table.entries[shard].holder
        if holder is None or holder.session != self._session.id:
            return False
        return not self._tables.is_in_transfer(shard)

    def _may_transfer(self, to: InstanceId, shard: ShardNumber) -> bool:
        if self._is_leaving:
            return self._placement.is_live(to)
        return self._placement.ranks_before(to, shard)

    def _is_session_needed(self, now: Instant) -> bool:
        if self._is_leaving:
            return False
        if self.held() or self._claims.has_due_work(now):
            self.keep_session_open(Instant(now + self._policy.idle_time))
        if now < self._session_needed_until:
            return True
        self._session.close()
        return False

    def _refresh(self, now: Instant) -> None:
        if not self._tables.is_known:
            return
        if self._is_view_stale:
            self._watched_sessions.set_watched(self._watch_paces())
        ended = self._watched_sessions.ended()
        if self._is_view_stale or ended != self._ended:
            self._ended = ended
            self._claims.update(self._tables.table, ended, now)
        self._is_view_stale = False

    def _watch_paces(self) -> dict[Holder, float]:
        holders = sorted(self._tables.table.holders(), key=lambda h: h.session)
        paces = {holder: self._pace(holder) for holder in holders}
        return {h: pace for h, pace in paces.items() if pace is not None}

    def _pace(self, holder: Holder) -> float | None:
        if holder.instance == self._me:
            return None if holder.session == self._session.id else 1.0
        paces = self._policy.watch_paces
        watchers = self._placement.watchers(holder, len(paces))
        if self._me not in watchers:
            return None
        # The session of a holder that is not live is read more often.
        if not self._placement.is_live(holder.instance):
            return 1.0
        return paces[watchers.index(self._me)]

    def _next_table_write(self, now: Instant) -> operations.Operation | None:
        if not self._tables.can_write(now):
            return None
        holders_by_shard = {
            shard: holder
            for shard, holder in self._pending_holders_by_shard.items()
            if self._holds_in_table(shard)
        }
        self._pending_holders_by_shard = holders_by_shard
        if holders_by_shard:
            return self._tables.change(Step.TRANSFER, holders_by_shard, now)
        ended = dict.fromkeys(self._claims.shards_of_ended_sessions(), None)
        claimed = self._claimed_holders(now)
        if claimed:
            return self._tables.change(Step.CLAIM, {**ended, **claimed}, now)
        if ended:
            return self._tables.change(Step.RELEASE, ended, now)
        return None

    def _claimed_holders(self, now: Instant) -> dict[ShardNumber, Holder]:
        session = self.usable_session(now)
        if session is None or self._is_leaving:
            return {}
        me = Holder(self._me, session)
        return dict.fromkeys(self._claims.shards_to_claim(now), me)

    def _holds_in_table(self, shard: ShardNumber) -> bool:
        if self._session.id is None:
            return False
        holder = self._tables.table.entries[shard].holder
        return holder is not None and holder.session == self._session.id
