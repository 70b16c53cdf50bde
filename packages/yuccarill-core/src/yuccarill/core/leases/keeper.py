"""Decide which shards this instance holds, takes, asks for and gives."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.leases import demand as demand_module
from yuccarill.core.leases import life_cycle
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import own_session
from yuccarill.core.leases import placing
from yuccarill.core.leases.table import Holder
from yuccarill.core.leases import table_keeper
from yuccarill.core.leases import watching

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


class Ask(msgspec.Struct, frozen=True):
    """Ask a holder for shards that are placed here."""

    holder: InstanceId
    session: SessionId
    shards: tuple[ShardNumber, ...]


class LeaseKeeper:
    """Keep one instance's leases; the caller does the calls."""

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
        self._own = own_session.OwnSession(
            instance, incarnation, policy, numbers
        )
        self._tables = table_keeper.TableKeeper(policy, generator, numbers)
        self._watching = watching.Watching(policy, numbers)
        self._placing = placing.Placing(instance)
        self._demand = demand_module.Demand(policy, self._placing)
        self._gifts_by_shard: dict[ShardNumber, Holder | None] = {}
        self._watches_by_number: dict[int, watching.SessionWatch] = {}
        self._wanted_until = Instant(float('-inf'))
        self._is_leaving = False
        # The table or the live instances changed since they were used.
        self._is_stale_view = True
        self._ended: set[SessionId] = set()

    @property
    def table(self) -> table_keeper.TableKeeper:
        return self._tables

    def set_live(self, live: Iterable[InstanceId]) -> None:
        """Take the instances that may be given work."""
        if self._placing.set_live(live):
            self._is_stale_view = True

    def offer_table(self, version: int, data: bytes) -> None:
        """Take a table that a peer passed on."""
        if self._tables.offer(version, data):
            self._is_stale_view = True

    def epoch_of(self, shard: ShardNumber, now: Instant) -> Epoch | None:
        """Return the epoch for an order sent right now, or none."""
        if not self._own.is_usable(now) or not self._is_mine(shard):
            return None
        return self._tables.table.entries[shard].epoch

    def holder_of(self, shard: ShardNumber) -> InstanceId | None:
        """Return the instance that holds a shard, as far as known."""
        holder = self._tables.table.entries[shard].holder
        return holder.instance if holder else None

    def held(self) -> list[ShardNumber]:
        """Return this session's shards, usable or not."""
        if self._own.id is None:
            return []
        held = self._tables.table.held_by(self._own.id)
        return [s for s in held if not self._tables.is_given(s)]

    def usable_session(self, now: Instant) -> SessionId | None:
        """Return the session to give shards to, if it is usable."""
        return self._own.id if self._own.is_usable(now) else None

    def next_operations(self, now: Instant) -> list[operations.Operation]:
        """Return the calls that are due."""
        self._refresh(now)
        due = []
        own = self._own.next_operation(now, self._is_wanted(now))
        if own is not None:
            due.append(own)
        table = self._tables.read(now) or self._change(now)
        if table is not None:
            due.append(table)
        for watch, operation in self._watching.next_operations(now):
            self._watches_by_number[operation.number] = watch
            due.append(operation)
        return due

    def complete(
        self,
        operation: operations.Operation,
        outcome: operations.Outcome,
        now: Instant,
    ) -> None:
        """Take the outcome of a call, once."""
        match operation.step:
            case Step.READ_OWN | Step.OPEN | Step.RENEW | Step.CLOSE:
                session = self._own.id
                self._own.complete(operation, outcome, now)
                if session is not None and self._own.id != session:
                    # Its shards are at others; what was told while this
                    # process was stopped or cut off may never come.
                    self._is_stale_view = True
                    self._tables.request_read()
            case Step.READ_TABLE | Step.TAKE | Step.GIVE | Step.FREE:
                if self._tables.complete(operation, outcome, now):
                    self._is_stale_view = True
            case Step.READ_PEER | Step.REVOKE:
                watch = self._watches_by_number.pop(operation.number, None)
                if watch is not None:
                    watch.complete(operation, outcome, now)

    def want_session(self, until: Instant) -> None:
        """Keep a session open until then, to be given shards."""
        self._wanted_until = max(self._wanted_until, until)

    def due_asks(self, now: Instant) -> list[Ask]:
        """Return the requests to send to holders, and count them as sent."""
        session = self.usable_session(now)
        if session is None or self._is_leaving:
            return []
        shards_by_holder = self._demand.take_asks(now)
        return [
            Ask(holder, session, tuple(numbers))
            for holder, numbers in shards_by_holder.items()
        ]

    def consent(
        self,
        to: Holder,
        numbers: Iterable[ShardNumber],
        busy: frozenset[ShardNumber] = frozenset(),
    ) -> list[ShardNumber]:
        """Give shards to a peer that asked; return those that it gets."""
        # Both sides must place the shard alike. If the views of who is
        # live differ, the shard stays: it would go back and forth.
        given = [
            shard
            for shard in numbers
            if self._is_mine(shard)
            and shard not in busy
            and self._may_pass(to.instance, shard)
        ]
        self.give(dict.fromkeys(given, to))
        return given

    def give(
        self, holders_by_shard: Mapping[ShardNumber, Holder | None]
    ) -> None:
        """Give shards away with the next change of the table."""
        self._gifts_by_shard.update(holders_by_shard)

    def begin_leaving(self) -> None:
        """Take no more shards and give each to any that asks."""
        self._is_leaving = True

    def leave(self) -> dict[ShardNumber, InstanceId | None]:
        """Take no more shards; return who should get those held here."""
        self.begin_leaving()
        heirs_by_shard: dict[ShardNumber, InstanceId | None] = {}
        for shard in self.held():
            order = self._placing.order(shard)
            others = [i for i in order if i != self._me]
            heirs_by_shard[shard] = others[0] if others else None
        return heirs_by_shard

    def close(self) -> bool:
        """End the session of a leaving instance; tell whether it ended."""
        if not self.held():
            self._own.close()
        return self._own.state is life_cycle.OwnState.CLOSED

    def _is_mine(self, shard: ShardNumber) -> bool:
        holder = self._tables.table.entries[shard].holder
        if holder is None or holder.session != self._own.id:
            return False
        return not self._tables.is_given(shard)

    def _may_pass(self, to: InstanceId, shard: ShardNumber) -> bool:
        if self._is_leaving:
            return self._placing.is_live(to)
        return self._placing.is_better(to, shard)

    def _is_wanted(self, now: Instant) -> bool:
        if self._is_leaving:
            return False
        if self.held() or self._demand.is_due(now):
            self.want_session(Instant(now + self._policy.idle_time))
        if now < self._wanted_until:
            return True
        self._own.close()
        return False

    def _refresh(self, now: Instant) -> None:
        if not self._tables.is_known:
            return
        if self._is_stale_view:
            self._watching.set_watched(self._watched())
        ended = self._watching.ended()
        if self._is_stale_view or ended != self._ended:
            self._ended = ended
            self._demand.update(self._tables.table, ended, now)
        self._is_stale_view = False

    def _watched(self) -> dict[Holder, float]:
        holders = sorted(self._tables.table.holders(), key=lambda h: h.session)
        paces = {holder: self._pace(holder) for holder in holders}
        return {h: pace for h, pace in paces.items() if pace is not None}

    def _pace(self, holder: Holder) -> float | None:
        if holder.instance == self._me:
            return None if holder.session == self._own.id else 1.0
        paces = self._policy.watch_paces
        watchers = self._placing.watchers(holder, len(paces))
        if self._me not in watchers:
            return None
        # Members that miss a holder prove nothing, but are reason to look.
        if not self._placing.is_live(holder.instance):
            return 1.0
        return paces[watchers.index(self._me)]

    def _change(self, now: Instant) -> operations.Operation | None:
        if not self._tables.can_change(now):
            return None
        gifts = {
            shard: holder
            for shard, holder in self._gifts_by_shard.items()
            if self._holds_in_table(shard)
        }
        self._gifts_by_shard = gifts
        if gifts:
            return self._tables.change(Step.GIVE, gifts, now)
        ended = dict.fromkeys(self._demand.ended_shards(), None)
        taken = self._taken(now)
        if taken:
            return self._tables.change(Step.TAKE, {**ended, **taken}, now)
        if ended:
            return self._tables.change(Step.FREE, ended, now)
        return None

    def _taken(self, now: Instant) -> dict[ShardNumber, Holder]:
        session = self.usable_session(now)
        if session is None or self._is_leaving:
            return {}
        me = Holder(self._me, session)
        return dict.fromkeys(self._demand.due_takes(now), me)

    def _holds_in_table(self, shard: ShardNumber) -> bool:
        if self._own.id is None:
            return False
        holder = self._tables.table.entries[shard].holder
        return holder is not None and holder.session == self._own.id
