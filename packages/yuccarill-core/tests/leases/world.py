"""A small store and holders on one true clock, for tests of leases."""

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
from yuccarill.core.leases import keeper as keeper_module
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
class Manner:
    """Say how the store treats one call."""

    delay: float = 0.0
    is_down: bool = False
    loses_reply: bool = False
    is_doubled: bool = False


class Store:
    """Hold keys with versions, as the platform does."""

    def __init__(self) -> None:
        self._entries_by_key: dict[str, tuple[int, bytes]] = {}
        self._version = 0
        self.calls_by_step: collections.Counter[Step] = collections.Counter()

    def apply(self, operation: operations.Operation) -> operations.Outcome:
        """Do one call."""
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
        """Return the shard table as it stands."""
        return operations.Found(
            *self._entries_by_key.get(table.TABLE_KEY, (0, b''))
        )


class Node:
    """Run one keeper; a stopped one neither sends nor receives."""

    def __init__(self, name: str, number: int, policy: LeasePolicy) -> None:
        self.id = InstanceId(name)
        self.keeper = keeper_module.LeaseKeeper(
            self.id,
            Incarnation(f'{name}-{number}'),
            policy,
            random.Random(number),
        )
        self.is_paused = False
        self.is_dead = False
        self.is_deaf = False
        # Clocks of machines share neither their start nor their speed.
        self.clock_speed = 1.0
        self._clock_start = 1000.0 * number

    def clock(self, now: Instant) -> Instant:
        """Return what this instance's own clock shows."""
        return Instant(self._clock_start + now * self.clock_speed)


class World:
    """Run nodes against one store and record who acts under what epoch."""

    def __init__(
        self,
        names: tuple[str, ...],
        policy: LeasePolicy | None = None,
        tick: float = TICK,
    ) -> None:
        self.now = Instant(100.0)
        self.store = Store()
        self.policy = policy or LeasePolicy()
        self.manner: Callable[[Node, operations.Operation], Manner] = (
            lambda node, operation: Manner()
        )
        self._tick = tick
        self.nodes_by_name: dict[str, Node] = {}
        self.hears_peers = True
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        # By shard: the highest epoch acted under, and by whom.
        self.acted_by_shard: dict[ShardNumber, tuple[Epoch, Node]] = {}
        self.faults: list[str] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> Node:
        """Start an instance, anew if it has been there."""
        self._number += 1
        self.nodes_by_name[name] = Node(name, self._number, self.policy)
        self._tell_live()
        return self.nodes_by_name[name]

    def crash(self, name: str, is_seen: bool = True) -> None:
        """End an instance without notice."""
        self.nodes_by_name[name].is_dead = True
        if is_seen:
            self._tell_live()

    def leave(self, name: str) -> None:
        """Begin a graceful shutdown: give to heirs, then close."""
        keeper = self.nodes_by_name[name].keeper
        gifts: dict[ShardNumber, Holder | None] = {}
        for shard, heir in keeper.leave().items():
            found = self.nodes_by_name.get(heir or '')
            session = None
            if found is not None and not found.is_dead:
                session = found.keeper.usable_session(found.clock(self.now))
            gifts[shard] = Holder(heir, session) if session and heir else None
        keeper.give(gifts)

    def has_left(self, name: str) -> bool:
        """Tell whether a leaving instance has ended its session."""
        return self.nodes_by_name[name].keeper.close()

    def acting(self) -> dict[ShardNumber, list[tuple[str, Epoch]]]:
        """Return who may act on what right now, each by its own view."""
        found: dict[ShardNumber, list[tuple[str, Epoch]]] = (
            collections.defaultdict(list)
        )
        for name, node in self.nodes_by_name.items():
            if node.is_dead or node.is_paused:
                continue
            if node.keeper.usable_session(node.clock(self.now)) is None:
                continue
            for shard in node.keeper.held():
                epoch = node.keeper.epoch_of(shard, node.clock(self.now))
                if epoch is not None:
                    found[shard].append((name, epoch))
        return found

    def held(self) -> dict[str, int]:
        """Return how many shards each instance may act on."""
        acting = self.acting().values()
        counts = collections.Counter(name for by in acting for name, _ in by)
        return dict(counts)

    def covered(self) -> int:
        """Return how many shards somebody may act on."""
        return len(self.acting())

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            for node in list(self.nodes_by_name.values()):
                self._step(node)
            self.now = Instant(self.now + self._tick)
            self._settle_events()
            self.check()

    def run_until(
        self, is_done: Callable[[], bool], limit: float = 60.0
    ) -> float:
        """Let time pass until something holds; return the seconds."""
        begun = self.now
        while not is_done() and self.now < begun + limit:
            self.run(self._tick)
        return self.now - begun

    def check(self) -> None:
        """Record a fault if two act at once or an epoch goes back."""
        for shard, acting in self.acting().items():
            if len(acting) > 1:
                self.faults.append(f'{self.now}: {shard} acted by {acting}')
            for name, epoch in acting:
                node = self.nodes_by_name[name]
                highest, by = self.acted_by_shard.get(shard, (Epoch(0), node))
                if epoch < highest or (epoch == highest and by is not node):
                    self.faults.append(
                        f'{self.now}: {shard} acted by {name} under {epoch} '
                        f'after {highest} by {by.id}'
                    )
                self.acted_by_shard[shard] = (epoch, node)

    def _step(self, node: Node) -> None:
        if node.is_dead or node.is_paused:
            return
        for operation in node.keeper.next_operations(node.clock(self.now)):
            self._send(node, operation)
        for ask in node.keeper.due_asks(node.clock(self.now)):
            holder = self.nodes_by_name.get(ask.holder)
            if holder is None or holder.is_dead or holder.is_paused:
                continue
            holder.keeper.consent(Holder(node.id, ask.session), ask.shards)

    def _send(self, node: Node, operation: operations.Operation) -> None:
        manner = self.manner(node, operation)
        if manner.is_down:
            self._answer(node, operation, operations.Unknown(), CALL_SECONDS)
            return
        self._at(manner.delay / 2, self._apply, node, operation, manner)
        if manner.is_doubled:
            self._at(manner.delay / 2, self._apply, node, operation, manner)
        if manner.loses_reply or manner.delay > CALL_SECONDS:
            self._answer(node, operation, operations.Unknown(), CALL_SECONDS)

    def _apply(
        self, node: Node, operation: operations.Operation, manner: Manner
    ) -> None:
        outcome = self.store.apply(operation)
        if isinstance(outcome, operations.Written):
            self._spread(operation)
        if not manner.loses_reply:
            self._answer(node, operation, outcome, manner.delay / 2)

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
                # What came meanwhile is read on waking.
                self._at(self._tick, deliver)
                return
            node.keeper.complete(operation, outcome, node.clock(self.now))
            self._step(node)

        self._at(delay, deliver)

    def _spread(self, operation: operations.Operation) -> None:
        if operation.key != table.TABLE_KEY or not self.hears_peers:
            return
        found = self.store.table()
        for node in self.nodes_by_name.values():
            if not (node.is_dead or node.is_paused or node.is_deaf):
                node.keeper.offer_table(found.version, found.value)

    def _tell_live(self) -> None:
        live = [n.id for n in self.nodes_by_name.values() if not n.is_dead]
        for node in self.nodes_by_name.values():
            node.keeper.set_live(live)

    def _at(
        self, delay: float, do: Callable[..., None], *more: object
    ) -> None:
        self._number += 1
        self._events.append(
            (self.now + delay, self._number, lambda: do(*more))
        )

    def _settle_events(self) -> None:
        while True:
            due = [e for e in self._events if e[0] <= self.now + 1e-9]
            if not due:
                return
            event = min(due, key=lambda e: e[:2])
            self._events.remove(event)
            event[2]()
