"""Simulated store and lease holders, driven by one simulated clock."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ShardNumber
from yuccarill.core.leases import lease_manager
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases.policy import LeasePolicy
from yuccarill.core.leases import table
from yuccarill.core.leases.table import Holder

if TYPE_CHECKING:
    from collections.abc import Callable

TICK = 0.25
CALL_SECONDS = 2.0


@dataclasses.dataclass
class CallMode:
    """How the store treats one call."""

    delay: float = 0.0
    is_down: bool = False
    loses_reply: bool = False
    is_duplicated: bool = False


class Store:
    """In-memory versioned key-value store."""

    def __init__(self) -> None:
        self._entries_by_key: dict[str, tuple[int, bytes]] = {}
        self._version = 0
        self.calls_by_step: collections.Counter[Step] = collections.Counter()

    def apply(self, operation: operations.Operation) -> operations.Outcome:
        """Execute one call."""
        self.calls_by_step[operation.step] += 1
        version, value = self._entries_by_key.get(operation.key, (0, b''))
        if operation.value is None:
            return operations.Found(version, value)
        if version != operation.expected:
            return operations.Conflict()
        self._version += 1
        self._entries_by_key[operation.key] = (
            self._version,
            operation.value,
        )
        return operations.Written(self._version)

    def table(self) -> operations.Found:
        """Return the stored shard table."""
        return operations.Found(
            *self._entries_by_key.get(table.TABLE_KEY, (0, b''))
        )


class Node:
    """One instance's lease manager; sends and receives nothing when paused."""

    def __init__(self, name: str, number: int, policy: LeasePolicy) -> None:
        self.id = InstanceId(name)
        self.manager = lease_manager.LeaseManager(
            self.id,
            Incarnation(f'{name}-{number}'),
            policy,
            random.Random(number),
        )
        self.is_paused = False
        self.is_dead = False
        self.lacks_tables = False
        # Local clocks differ in offset and speed.
        self.clock_speed = 1.0
        self._clock_start = 1000.0 * number

    def clock(self, now: Instant) -> Instant:
        """Return the instant on the instance's own clock."""
        return Instant(self._clock_start + now * self.clock_speed)


class World:
    """Run nodes against one store and check holders and epochs."""

    def __init__(
        self,
        names: tuple[str, ...],
        policy: LeasePolicy | None = None,
        tick: float = TICK,
    ) -> None:
        self.now = Instant(100.0)
        self.store = Store()
        self.policy = policy or LeasePolicy()
        self.mode: Callable[[Node, operations.Operation], CallMode] = (
            lambda node, operation: CallMode()
        )
        self._tick = tick
        self.nodes_by_name: dict[str, Node] = {}
        self.shares_tables = True
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        # By shard: the highest epoch acted under, and its node.
        self.actor_by_shard: dict[ShardNumber, tuple[Epoch, Node]] = {}
        self.faults: list[str] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> Node:
        """Start or restart an instance."""
        self._number += 1
        self.nodes_by_name[name] = Node(name, self._number, self.policy)
        self._update_live()
        return self.nodes_by_name[name]

    def crash(self, name: str, is_seen: bool = True) -> None:
        """Crash an instance; peers notice only if is_seen."""
        self.nodes_by_name[name].is_dead = True
        if is_seen:
            self._update_live()

    def leave(self, name: str) -> None:
        """Begin a graceful shutdown: transfer the held shards."""
        manager = self.nodes_by_name[name].manager
        holders: dict[ShardNumber, Holder | None] = {}
        for shard, peer in manager.next_holders().items():
            found = self.nodes_by_name.get(peer or '')
            session = None
            if found is not None and not found.is_dead:
                session = found.manager.usable_session(found.clock(self.now))
            holders[shard] = (
                Holder(peer, session) if session and peer else None
            )
        manager.transfer(holders)

    def has_left(self, name: str) -> bool:
        """Close the session of a leaving instance; return if it is closed."""
        return self.nodes_by_name[name].manager.close()

    def acting(self) -> dict[ShardNumber, list[tuple[str, Epoch]]]:
        """Return the instances that may act now and their epochs, by shard."""
        found: dict[ShardNumber, list[tuple[str, Epoch]]] = (
            collections.defaultdict(list)
        )
        for name, node in self.nodes_by_name.items():
            if node.is_dead or node.is_paused:
                continue
            if node.manager.usable_session(node.clock(self.now)) is None:
                continue
            for shard in node.manager.held():
                epoch = node.manager.epoch_of(shard, node.clock(self.now))
                if epoch is not None:
                    found[shard].append((name, epoch))
        return found

    def held(self) -> dict[str, int]:
        """Return how many shards each instance may act on."""
        acting = self.acting().values()
        counts = collections.Counter(name for by in acting for name, _ in by)
        return dict(counts)

    def covered(self) -> int:
        """Return how many shards have an instance that may act on them."""
        return len(self.acting())

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            for node in list(self.nodes_by_name.values()):
                self._step(node)
            self.now = Instant(self.now + self._tick)
            self._run_due_events()
            self.check()

    def run_until(
        self, is_done: Callable[[], bool], limit: float = 60.0
    ) -> float:
        """Advance the time until a condition holds; return the seconds."""
        started_at = self.now
        while not is_done() and self.now < started_at + limit:
            self.run(self._tick)
        return self.now - started_at

    def check(self) -> None:
        """Record a fault if two nodes act at once or an epoch decreases."""
        for shard, acting in self.acting().items():
            if len(acting) > 1:
                self.faults.append(f'{self.now}: {shard} held by {acting}')
            for name, epoch in acting:
                node = self.nodes_by_name[name]
                highest, by = self.actor_by_shard.get(shard, (Epoch(0), node))
                if epoch < highest or (epoch == highest and by is not node):
                    self.faults.append(
                        f'{self.now}: {shard} held by {name}, epoch {epoch}, '
                        f'after epoch {highest} of {by.id}'
                    )
                self.actor_by_shard[shard] = (epoch, node)

    def _step(self, node: Node) -> None:
        if node.is_dead or node.is_paused:
            return
        for operation in node.manager.next_operations(node.clock(self.now)):
            self._send(node, operation)
        for ask in node.manager.due_transfer_requests(node.clock(self.now)):
            holder = self.nodes_by_name.get(ask.holder)
            if holder is None or holder.is_dead or holder.is_paused:
                continue
            holder.manager.transfer_requested(
                Holder(node.id, ask.session), ask.shards
            )

    def _send(self, node: Node, operation: operations.Operation) -> None:
        mode = self.mode(node, operation)
        if mode.is_down:
            self._answer(node, operation, operations.Unknown(), CALL_SECONDS)
            return
        self._at(mode.delay / 2, self._apply, node, operation, mode)
        if mode.is_duplicated:
            self._at(mode.delay / 2, self._apply, node, operation, mode)
        if mode.loses_reply or mode.delay > CALL_SECONDS:
            self._answer(node, operation, operations.Unknown(), CALL_SECONDS)

    def _apply(
        self, node: Node, operation: operations.Operation, mode: CallMode
    ) -> None:
        outcome = self.store.apply(operation)
        if isinstance(outcome, operations.Written):
            self._share_table(operation)
        if not mode.loses_reply:
            self._answer(node, operation, outcome, mode.delay / 2)

    def _answer(
        self,
        node: Node,
        operation: operations.Operation,
        outcome: operations.Outcome,
        delay: float,
    ) -> None:
        def deliver() -> None:
            if node.is_dead:
                return
            if node.is_paused:
                # A paused process receives the reply once it resumes.
                self._at(self._tick, deliver)
                return
            node.manager.complete(operation, outcome, node.clock(self.now))
            self._step(node)

        self._at(delay, deliver)

    def _share_table(self, operation: operations.Operation) -> None:
        if operation.key != table.TABLE_KEY or not self.shares_tables:
            return
        found = self.store.table()
        for node in self.nodes_by_name.values():
            if not (node.is_dead or node.is_paused or node.lacks_tables):
                node.manager.offer_table(found.version, found.value)

    def _update_live(self) -> None:
        live = [n.id for n in self.nodes_by_name.values() if not n.is_dead]
        for node in self.nodes_by_name.values():
            node.manager.set_live(live)

    def _at(
        self, delay: float, do: Callable[..., None], *more: object
    ) -> None:
        self._number += 1
        self._events.append(
            (self.now + delay, self._number, lambda: do(*more))
        )

    def _run_due_events(self) -> None:
        while True:
            due = [e for e in self._events if e[0] <= self.now + 1e-9]
            if not due:
                return
            event = min(due, key=lambda e: e[:2])
            self._events.remove(event)
            event[2]()
