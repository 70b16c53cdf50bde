"""Run lease keepers of many instances on a fake clock and a tiny store."""

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
from yuccarill.core.leases import keeper
from yuccarill.core.leases import operations
from yuccarill.core.leases import policy as policy_module
from yuccarill.core.leases import shards
from yuccarill.core.leases import table
from yuccarill.core.membership import placement

if TYPE_CHECKING:
    from collections.abc import Callable

TICK = 0.25
STORE_SECONDS = 0.005
# From a write of the table until every instance has it.
SPREAD_SECONDS = 0.1
# Until members agree on who came or crashed.
NOTICE_SECONDS = 5.0
TARGETS = 1300
START = 1000.0


class Node:
    """Hold one instance's keeper."""

    def __init__(self, name: InstanceId, serial: int, seed: int) -> None:
        self.id = name
        self.is_dead = False
        self.keeper = keeper.LeaseKeeper(
            name,
            Incarnation(f'{name}-{serial}'),
            policy_module.LeasePolicy(),
            random.Random(seed),
        )


class Fleet:
    """Run instances, a store and the spread of the table."""

    def __init__(self, count: int) -> None:
        self.now = START
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
        self.notice()

    def start(self, name: InstanceId) -> None:
        """Start an instance; the others learn of it a little later."""
        self._add(name)
        self.nodes_by_id[name].keeper.set_live(self._live)
        self._at(NOTICE_SECONDS, self.notice)

    def crash(self, name: InstanceId) -> None:
        """End an instance; the others learn of it a little later."""
        self.nodes_by_id[name].is_dead = True
        self._at(NOTICE_SECONDS, self.notice)

    def stop(self, name: InstanceId) -> None:
        """End an instance gracefully; the others are told at once."""
        leaver = self.nodes_by_id[name].keeper
        gifts: dict[int, table.Holder | None] = {}
        for shard, heir in leaver.leave().items():
            assert heir is not None
            found = self.nodes_by_id[heir].keeper
            found.want_session(Instant(self.now + 10))
            session = self._time(lambda f=found: f.usable_session(self.now))
            gifts[shard] = table.Holder(heir, session) if session else None
        leaver.give(gifts)
        while not leaver.close():
            self.run(TICK)
        self.nodes_by_id[name].is_dead = True
        self.notice()

    def notice(self) -> None:
        """Let all instances agree on who is live."""
        self._live = [n.id for n in self.nodes_by_id.values() if not n.is_dead]
        for node in self._running():
            self._time(lambda n=node: n.keeper.set_live(self._live))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, do = heapq.heappop(self._events)
            do()
        self.now = end

    def holders(self) -> dict[int, InstanceId | None]:
        """Return who may act on each shard right now."""
        found: dict[int, InstanceId | None] = dict.fromkeys(shards.ALL_SHARDS)
        for node in self._running():
            for shard in node.keeper.held():
                if node.keeper.epoch_of(shard, Instant(self.now)) is not None:
                    found[shard] = node.id
        return found

    def seconds_until_held(self, limit: float = 60.0) -> float:
        """Let time pass until every shard is held."""
        begun = self.now
        while None in self.holders().values() and self.now < begun + limit:
            self.run(TICK)
        return self.now - begun

    def _add(self, name: InstanceId) -> None:
        serial = next(self._serials)
        node = Node(name, serial, serial)
        self.nodes_by_id[name] = node
        # Processes tick at moments of their own.
        phase = random.Random(serial).uniform(0, TICK)
        self._at(phase, self._tick, node)

    def _tick(self, node: Node) -> None:
        if not node.is_dead:
            self._step(node)
            self._at(TICK, self._tick, node)

    def _running(self) -> list[Node]:
        return [n for n in self.nodes_by_id.values() if not n.is_dead]

    def _step(self, node: Node) -> None:
        now = Instant(self.now)
        for operation in self._time(lambda: node.keeper.next_operations(now)):
            self._at(STORE_SECONDS, self._apply, node, operation)
        for ask in self._time(lambda: node.keeper.due_asks(now)):
            holder = self.nodes_by_id.get(ask.holder)
            if holder is not None and not holder.is_dead:
                to = table.Holder(node.id, ask.session)
                holder.keeper.consent(to, ask.shards)

    def _apply(self, node: Node, operation: operations.Operation) -> None:
        outcome = self._outcome(operation)
        if isinstance(outcome, operations.Written):
            if operation.key == table.TABLE_KEY:
                assert operation.value is not None
                version, value = outcome.version, operation.value
                self._at(SPREAD_SECONDS, self._spread, version, value)
        if node.is_dead:
            return
        now = Instant(self.now)
        self._time(lambda: node.keeper.complete(operation, outcome, now))
        self._step(node)

    def _outcome(self, operation: operations.Operation) -> operations.Outcome:
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

    def _spread(self, version: int, value: bytes) -> None:
        for node in self._running():
            self._time(lambda n=node: n.keeper.offer_table(version, value))

    def _time(self, do: Callable[[], object]) -> object:
        begun = time.process_time()
        try:
            return do()
        finally:
            self.decision_seconds += time.process_time() - begun

    def _at(
        self, delay: float, do: Callable[..., None], *more: object
    ) -> None:
        event = (
            self.now + delay,
            next(self._serials),
            lambda: do(*more),
        )
        heapq.heappush(self._events, event)


class NaiveFleet:
    """Renew a lease a target; every instance reads who holds what."""

    def __init__(self, count: int) -> None:
        names = [InstanceId(f'i{number}') for number in range(count)]
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._names = names
        self.holders_by_target = {
            target: placement.rank(f'target/e{target}', names)[0]
            for target in range(TARGETS)
        }

    def run(self, seconds: float, period: float) -> None:
        """Count the calls of a time without change."""
        for _ in range(round(seconds / period)):
            for _ in self.holders_by_target:
                self.calls_by_kind['write'] += 1
            for _ in self._names:
                self.calls_by_kind['read'] += 1
