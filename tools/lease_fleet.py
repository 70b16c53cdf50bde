"""Simulate the lease keepers of many instances on a fake clock."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import time
from typing import TYPE_CHECKING

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.leases import lease_manager
from yuccarill.core.leases import operations
from yuccarill.core.leases import policy as policy_module
from yuccarill.core.leases import shards
from yuccarill.core.leases import table
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_SECONDS = 0.25
STORE_SECONDS = 0.005
# Delay from a write of the lease table until every instance has read it.
READ_SECONDS = 0.1
# Delay until all instances have detected a start or a crash.
DETECTION_SECONDS = 5.0
TARGETS = 1300
START_TIME = 1000.0


class Node:
    """Simulate one instance with its lease keeper."""

    def __init__(self, name: InstanceId, serial: int, seed: int) -> None:
        self.id = name
        self.is_dead = False
        self.keeper = lease_manager.LeaseManager(
            name,
            Incarnation(f'{name}-{serial}'),
            policy_module.LeasePolicy(),
            random.Random(seed),
        )


class Fleet:
    """Simulate instances, the store and reads of the lease table."""

    def __init__(self, count: int) -> None:
        self.now = START_TIME
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        # Processor seconds of all keepers' decisions.
        self.decision_seconds = 0.0
        self.nodes_by_id: dict[InstanceId, Node] = {}
        self.held_again_at: float | None = None
        self._entries_by_key: dict[str, tuple[int, bytes]] = {}
        self._versions = itertools.count(1)
        self._serials = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._live: list[InstanceId] = []
        for number in range(count):
            self._add(InstanceId(f'i{number}'))
        self.update_membership()

    def start(self, name: InstanceId) -> None:
        """Start an instance; the others detect it after a delay."""
        self._add(name)
        self.nodes_by_id[name].keeper.set_live(self._live)
        self._schedule(DETECTION_SECONDS, self.update_membership)

    def crash(self, name: InstanceId) -> None:
        """Crash an instance; the others detect it after a delay."""
        self.nodes_by_id[name].is_dead = True
        self._schedule(DETECTION_SECONDS, self.update_membership)

    def stop(self, name: InstanceId) -> None:
        """Stop an instance gracefully; the others detect it at once."""
        leaving = self.nodes_by_id[name].keeper
        offers: dict[int, table.Holder | None] = {}
        for shard, next_id in leaving.next_holders().items():
            assert next_id is not None
            peer = self.nodes_by_id[next_id].keeper
            peer.keep_session_open(Instant(self.now + 10))
            session = self._time(lambda k=peer: k.usable_session(self.now))
            offers[shard] = table.Holder(next_id, session) if session else None
        leaving.transfer(offers)
        while not leaving.close():
            self.run(TICK_SECONDS)
        self.nodes_by_id[name].is_dead = True
        self.update_membership()

    def update_membership(self) -> None:
        """Give every instance the list of live instances."""
        self._live = [n.id for n in self.nodes_by_id.values() if not n.is_dead]
        for node in self._running():
            self._time(lambda n=node: n.keeper.set_live(self._live))

    def run(self, seconds: float) -> None:
        """Advance the clock and run the events that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def holders(self) -> dict[int, InstanceId | None]:
        """Return the instance with a valid lease for each shard."""
        held: dict[int, InstanceId | None] = dict.fromkeys(shards.ALL_SHARDS)
        for node in self._running():
            for shard in node.keeper.held():
                if node.keeper.epoch_of(shard, Instant(self.now)) is not None:
                    held[shard] = node.id
        return held

    def seconds_until_held(self, limit: float = 60.0) -> float:
        """Advance the clock until all shards are held; return the seconds."""
        start = self.now
        while None in self.holders().values() and self.now < start + limit:
            self.run(TICK_SECONDS)
        return self.now - start

    def _add(self, name: InstanceId) -> None:
        serial = next(self._serials)
        node = Node(name, serial, serial)
        self.nodes_by_id[name] = node
        # Instances tick at independent phases.
        phase = random.Random(serial).uniform(0, TICK_SECONDS)
        self._schedule(phase, self._tick, node)

    def _tick(self, node: Node) -> None:
        if not node.is_dead:
            self._step(node)
            self._schedule(TICK_SECONDS, self._tick, node)

    def _running(self) -> list[Node]:
        return [n for n in self.nodes_by_id.values() if not n.is_dead]

    def _step(self, node: Node) -> None:
        now = Instant(self.now)
        for operation in self._time(lambda: node.keeper.next_operations(now)):
            self._schedule(STORE_SECONDS, self._apply, node, operation)
        for ask in self._time(lambda: node.keeper.due_transfer_requests(now)):
            holder = self.nodes_by_id.get(ask.holder)
            if holder is not None and not holder.is_dead:
                to = table.Holder(node.id, ask.session)
                holder.keeper.transfer_requested(to, ask.shards)

    def _apply(self, node: Node, operation: operations.Operation) -> None:
        outcome = self._execute(operation)
        if isinstance(outcome, operations.Written):
            if operation.key == table.TABLE_KEY:
                assert operation.value is not None
                version, value = outcome.version, operation.value
                self._schedule(READ_SECONDS, self._propagate, version, value)
        if node.is_dead:
            return
        now = Instant(self.now)
        self._time(lambda: node.keeper.complete(operation, outcome, now))
        self._step(node)

    def _execute(self, operation: operations.Operation) -> operations.Outcome:
        version, value = self._entries_by_key.get(operation.key, (0, b''))
        if operation.value is None:
            self.calls_by_kind['read'] += 1
            return operations.Found(version, value)
        self.calls_by_kind['write'] += 1
        if operation.step is not operations.Step.RENEW:
            self.calls_by_kind['other write'] += 1
        if version != operation.expected:
            return operations.Conflict()
        entry = (next(self._versions), operation.value)
        self._entries_by_key[operation.key] = entry
        return operations.Written(entry[0])

    def _propagate(self, version: int, value: bytes) -> None:
        for node in self._running():
            self._time(lambda n=node: n.keeper.offer_table(version, value))

    def _time(self, callback: Callable[[], object]) -> object:
        start = time.process_time()
        try:
            return callback()
        finally:
            self.decision_seconds += time.process_time() - start

    def _schedule(
        self, delay: float, callback: Callable[..., None], *arguments: object
    ) -> None:
        event = (
            self.now + delay,
            next(self._serials),
            lambda: callback(*arguments),
        )
        heapq.heappush(self._events, event)


class NaiveFleet:
    """Renew a lease per target; every instance reads all holders."""

    def __init__(self, count: int) -> None:
        names = [InstanceId(f'i{number}') for number in range(count)]
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._names = names
        self.holders_by_target = {
            target: placement.rank(f'target/e{target}', names)[0]
            for target in range(TARGETS)
        }

    def run(self, seconds: float, period: float) -> None:
        """Count the store calls of a period without changes."""
        for _ in range(round(seconds / period)):
            for _ in self.holders_by_target:
                self.calls_by_kind['write'] += 1
            for _ in self._names:
                self.calls_by_kind['read'] += 1
