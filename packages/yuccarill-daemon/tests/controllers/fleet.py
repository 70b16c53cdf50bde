"""Run real controllers on a fake clock, store and network."""

from __future__ import annotations

import functools
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.daemon.controllers import configuration
from yuccarill.daemon.controllers import decisions
from yuccarill.daemon.controllers import dissemination
from yuccarill.standins import memory
from yuccarill.wire import messages

STORE_SECONDS = 0.01


def document(*names: str) -> dict[str, Any]:
    """Return a small inventory."""
    return {'models': [{'name': name} for name in names]}


class NodeStore:
    """Forward calls to the store until the process is killed."""

    def __init__(self, store: memory.MemoryKeyValue) -> None:
        self._store = store
        self.is_killed = False

    def __getattr__(self, name: str) -> Any:
        return functools.partial(self._call, getattr(self._store, name))

    async def _call(self, method: Any, *arguments: Any) -> Any:
        result = await method(*arguments)
        if self.is_killed:
            await defer.Deferred()
        return result


class Node:
    """Run the controllers of one process of an instance."""

    def __init__(self, fleet: Fleet, me: Instance) -> None:
        self.me = me
        self._fleet = fleet
        self.blackboard = Blackboard(own_instance=me)
        # Highest revision that was in force on this node.
        self.highest_revision = 0
        peers = fleet.network.peer_client_of(me)
        self._store = NodeStore(fleet.store)
        self.dissemination = dissemination.DisseminationController(
            me, fleet, peers, self._store, random.Random(me.id), fleet.clock
        )
        self.configuration = configuration.ConfigurationController(
            self.blackboard,
            self.dissemination,
            peers,
            decisions.DecisionRunner(self._store, fleet.clock),
            fleet.clock,
        )
        fleet.network.handlers_by_id[me.id] = self._handle
        self._following = [
            defer.ensureDeferred(part.follow())
            for part in (self.configuration, self.dissemination)
        ]
        for following in self._following:
            following.addErrback(lambda _: None)

    @property
    def revision(self) -> int:
        head = self.blackboard.snapshot
        return 0 if head is None else head.revision

    def kill(self) -> None:
        """Stop without notifying the other nodes."""
        self._store.is_killed = True
        for following in self._following:
            following.cancel()
        del self._fleet.network.handlers_by_id[self.me.id]

    async def _handle(self, body: messages.Body) -> messages.Body:
        match body:
            case messages.ConfigurationFetch():
                return self.configuration.handle(body)
            case _:
                return self.dissemination.handle(body)


class Fleet:
    """Start, stop and check nodes."""

    def __init__(self, count: int, data_centres: int = 2) -> None:
        self.clock = task.Clock()
        self.store = memory.MemoryKeyValue(self.clock, STORE_SECONDS)
        self.network = memory.MemoryNetwork(self.clock)
        self.instances = [
            Instance(
                id=InstanceId(f'i{n}'),
                data_centre=DataCentreId(f'd{n % data_centres}'),
                host='127.0.0.1',
                http_port=1,
                peer_port=1,
            )
            for n in range(count)
        ]
        self.nodes_by_id: dict[InstanceId, Node] = {}

    def live(self) -> list[Instance]:
        """Return all instances, as if no failure was detected yet."""
        return self.instances

    def start(self, *numbers: int) -> None:
        """Start a new incarnation of some instances."""
        for number in numbers:
            instance = self.instances[number]
            self.nodes_by_id[instance.id] = Node(self, instance)

    def kill(self, number: int) -> None:
        """Kill an instance."""
        self.nodes_by_id.pop(self.instances[number].id).kill()

    def node(self, number: int) -> Node:
        return self.nodes_by_id[self.instances[number].id]

    def cut_off(self, number: int) -> None:
        """Drop all messages between an instance and the others."""
        cut = self.instances[number].id
        for other in self.instances:
            if other.id != cut:
                self.network.dropped_pairs |= {
                    (cut, other.id),
                    (other.id, cut),
                }

    def advance(self, seconds: float) -> None:
        """Advance the clock; check that no revision reverts."""
        end = self.clock.seconds() + seconds
        while (calls := self.clock.getDelayedCalls()) and (
            due := min(call.getTime() for call in calls)
        ) <= end:
            self.clock.advance(max(0.0, due - self.clock.seconds()))
            self.check()
        self.clock.advance(end - self.clock.seconds())

    def check(self) -> None:
        """Raise if a node reverted to a lower revision."""
        for node in self.nodes_by_id.values():
            if node.revision < node.highest_revision:
                raise AssertionError(
                    f'{node.me.id} reverted to a lower revision'
                )
            node.highest_revision = node.revision

    def apply(self, number: int, base: int, *names: str, **more: Any) -> Any:
        """Apply a document at an instance; return the list for the result."""
        return self.outcome(
            self.node(number).configuration.apply(
                f'operator-{number}', base, document(*names), **more
            )
        )

    def outcome(self, awaitable: Any) -> list[Any]:
        """Start a coroutine; return a list that receives its result."""
        results: list[Any] = []
        defer.ensureDeferred(awaitable).addBoth(results.append)
        return results
