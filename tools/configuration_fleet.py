"""Simulate the controllers of many instances in one process."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import base
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.blackboard import Blackboard
from yuccarill.core import errors
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.daemon.controllers import configuration
from yuccarill.daemon.controllers import decisions
from yuccarill.daemon.controllers import dissemination
from yuccarill.standins import memory
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = 5
DATA_CENTRES = 11
# One-way network delays.
NEAR_SECONDS = 0.00025
REGION_SECONDS = 0.0005
FAR_SECONDS = 0.08
STORE_SECONDS = 0.002
# Time until a call across a partition fails.
PARTITION_SECONDS = 2.0


class SimulatedClock:
    """Run delayed calls in order of time, without waiting."""

    def __init__(self) -> None:
        self._now = 0.0
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, base.DelayedCall]] = []

    def seconds(self) -> float:
        """Return the simulated time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., Any], *args: Any
    ) -> base.DelayedCall:
        """Call a function at a later simulated time."""
        call = base.DelayedCall(
            self._now + delay,
            function,
            args,
            {},
            lambda _: None,
            lambda _: None,
            self.seconds,
        )
        entry = (call.getTime(), next(self._numbers), call)
        heapq.heappush(self._calls, entry)
        return call

    def run(self, seconds: float) -> None:
        """Advance the clock and run the calls that are due."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, call = heapq.heappop(self._calls)
            if call.active():
                call.called = 1
                call.func(*call.args)
        self._now = end


class RemoteStore:
    """Add the network delay of a region to calls to the store."""

    def __init__(
        self, store: memory.MemoryKeyValue, clock: SimulatedClock, delay: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._delay = delay
        self.is_partitioned = False

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._store, name)

        async def call(*arguments: Any) -> Any:
            await self._cross_network()
            result = await method(*arguments)
            await self._cross_network()
            return result

        return call

    async def _cross_network(self) -> None:
        await task.deferLater(self._clock, self._delay, lambda: None)
        if self.is_partitioned:
            await task.deferLater(self._clock, PARTITION_SECONDS, lambda: None)
            raise errors.StoreUnavailable('The store is unreachable.')


class Fleet:
    """Run the controllers of many instances."""

    def __init__(self, count: int, seed: int) -> None:
        self.clock = SimulatedClock()
        self.random = random.Random(seed)
        self.store = memory.MemoryKeyValue(self.clock, STORE_SECONDS)
        self.network = memory.MemoryNetwork(self.clock, _delay)
        centres = min(DATA_CENTRES, max(3, count // 4))
        self.instances = [
            Instance(
                id=InstanceId(f'i{n}'),
                data_centre=DataCentreId(f'd{n % centres}'),
                host='127.0.0.1',
                http_port=1,
                peer_port=1,
            )
            for n in range(count)
        ]
        self.blackboards_by_id: dict[InstanceId, Blackboard] = {}
        self.controllers_by_id: dict[
            InstanceId, configuration.ConfigurationController
        ] = {}
        self._stores_by_id: dict[InstanceId, RemoteStore] = {}
        self._following_by_id: dict[InstanceId, list[defer.Deferred[Any]]] = {}
        for instance in self.instances:
            self.start(instance)

    def live(self) -> list[Instance]:
        """Return all instances, as if no loss were detected."""
        # Returns copies, as the membership view does.
        return [msgspec.structs.replace(i) for i in self.instances]

    def start(self, me: Instance) -> None:
        """Start one instance."""
        peers = self.network.peer_client_of(me)
        delay = 0.0 if _region(me) == 0 else FAR_SECONDS
        store = RemoteStore(self.store, self.clock, delay)
        spread = dissemination.DisseminationController(
            me,
            self,
            peers,
            store,
            random.Random(self.random.random()),
            self.clock,
        )
        blackboard = Blackboard(own_instance=me)
        controller = configuration.ConfigurationController(
            blackboard,
            spread,
            peers,
            decisions.DecisionRunner(store, self.clock),
            self.clock,
        )

        async def handle(body: messages.Body) -> messages.Body:
            if isinstance(body, messages.ConfigurationFetch):
                return controller.handle(body)
            return spread.handle(body)

        self.network.handlers_by_id[me.id] = handle
        self.blackboards_by_id[me.id] = blackboard
        self.controllers_by_id[me.id] = controller
        self._stores_by_id[me.id] = store
        self._following_by_id[me.id] = [
            defer.ensureDeferred(part.follow()).addErrback(lambda _: None)
            for part in (controller, spread)
        ]

    def kill(self, me: Instance) -> None:
        """Kill an instance; requests to it never get a reply."""

        async def never_reply(_: messages.Body) -> messages.Body:
            return await defer.Deferred()

        self.network.handlers_by_id[me.id] = never_reply
        for following in self._following_by_id[me.id]:
            following.cancel()
        del self.blackboards_by_id[me.id]

    def partition_region(self, region: int) -> None:
        """Partition a region from the others and from the store."""
        inside = {i.id for i in self.instances if _region(i) == region}
        outside = {i.id for i in self.instances} - inside
        self.network.dropped_pairs = set(itertools.product(inside, outside))
        self.network.dropped_pairs |= set(itertools.product(outside, inside))
        for member in inside:
            self._stores_by_id[member].is_partitioned = True

    def heal(self) -> None:
        """Remove all partitions."""
        self.network.dropped_pairs = set()
        for store in self._stores_by_id.values():
            store.is_partitioned = False

    def apply(self, at: Instance, base: int, document: Any) -> list[Any]:
        """Apply a document; return a list that gets the end time or error."""
        accepted: list[Any] = []
        defer.ensureDeferred(
            self.controllers_by_id[at.id].apply('operator', base, document)
        ).addCallbacks(
            lambda _: accepted.append(self.clock.seconds()), accepted.append
        )
        return accepted

    def seconds_until_applied(self, revision: int, limit: float) -> float:
        """Return the seconds until all live instances have a revision."""
        started_at = self.clock.seconds()
        while self.clock.seconds() - started_at < limit:
            if all(
                blackboard.snapshot is not None
                and blackboard.snapshot.revision >= revision
                for blackboard in self.blackboards_by_id.values()
            ):
                break
            self.clock.run(0.005)
        return self.clock.seconds() - started_at

    def traffic(self) -> dict[InstanceId, int]:
        """Return the bytes sent and received by each instance."""
        network = self.network
        return {
            i.id: network.sent_bytes_by_id[i.id]
            + network.received_bytes_by_id[i.id]
            for i in self.instances
        }


def _region(instance: Instance) -> int:
    return int(instance.data_centre[1:]) % REGIONS


def _delay(a: Instance, b: Instance) -> float:
    if a.data_centre == b.data_centre:
        return NEAR_SECONDS
    return REGION_SECONDS if _region(a) == _region(b) else FAR_SECONDS
