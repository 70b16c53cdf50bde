"""In-memory key-value service and network that run on a given clock.

For tests and measurements of controllers in one process, without sockets.
"""

from __future__ import annotations

import collections
import enum
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.wire import frames
from yuccarill.wire.key_value import Entry
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.instances import Instance

WATCH_SECONDS = 10.0


class WriteFault(enum.Enum):
    """Fault of one write."""

    DROPPED = 'dropped'
    REPLY_LOST = 'reply lost'
    DELAYED = 'delayed'
    DELAYED_THEN_DOWN = 'delayed, then the store is down'
    DOWN_AFTER = 'confirmed, then the store is down'


_DELAYED_FAULTS = (WriteFault.DELAYED, WriteFault.DELAYED_THEN_DOWN)
_FAULTS_THEN_DOWN = (WriteFault.DELAYED_THEN_DOWN, WriteFault.DOWN_AFTER)


class MemoryKeyValue:
    """Key-value service with compare-and-swap and watches."""

    def __init__(self, clock: Any, delay: float = 0.0) -> None:
        self._clock = clock
        self._delay = delay
        self._entries_by_key: dict[str, Entry] = {}
        self._version = 0
        self._watchers_by_key: dict[str, list[defer.Deferred[None]]] = (
            collections.defaultdict(list)
        )
        self._delayed: list[tuple[str, bytes, int]] = []
        self.is_down = False
        self.next_write_fault: WriteFault | None = None
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> Entry:
        """Read a key."""
        await self._start_call('read')
        return self._read_entry(key, 'read')

    async def watch(self, key: str, after: int) -> Entry:
        """Read a key once its version exceeds the given one."""
        await self._start_call('watch')
        if self.stored_entry(key).version <= after:
            watcher: defer.Deferred[None] = defer.Deferred()
            watcher.addTimeout(
                WATCH_SECONDS, self._clock, onTimeoutCancel=lambda *_: None
            )
            self._watchers_by_key[key].append(watcher)
            await watcher
            await self._sleep()
        self._check_available()
        return self._read_entry(key, 'watch')

    async def swap(self, key: str, value: bytes, expected: int) -> int:
        """Write a key if its version is the expected one."""
        fault, self.next_write_fault = self.next_write_fault, None
        await self._start_call('write')
        self.bytes_by_kind['write'] += len(value)
        self.is_down = fault in _FAULTS_THEN_DOWN
        if fault in _DELAYED_FAULTS:
            self._delayed.append((key, value, expected))
        if fault in _DELAYED_FAULTS or fault is WriteFault.DROPPED:
            raise errors.StoreUnavailable('The store did not reply.')
        version = self._write(key, value, expected)
        await self._sleep()
        if fault is WriteFault.REPLY_LOST:
            raise errors.StoreUnavailable('The store did not reply.')
        return version

    def stored_entry(self, key: str) -> Entry:
        """Return an entry without a delay, fault or count."""
        return self._entries_by_key.get(key, Entry(0, b''))

    def execute_delayed_writes(self) -> None:
        """Execute the delayed writes."""
        delayed, self._delayed = self._delayed, []
        for key, value, expected in delayed:
            try:
                self._write(key, value, expected)
            except errors.StoreConflict:
                continue

    def _write(self, key: str, value: bytes, expected: int) -> int:
        if self.stored_entry(key).version != expected:
            raise errors.StoreConflict('Another write changed the key first.')
        self._version += 1
        self._entries_by_key[key] = Entry(self._version, value)
        for watcher in self._watchers_by_key.pop(key, []):
            if not watcher.called:
                watcher.callback(None)
        return self._version

    async def _start_call(self, kind: str) -> None:
        self.calls_by_kind[kind] += 1
        await self._sleep()
        self._check_available()

    def _read_entry(self, key: str, kind: str) -> Entry:
        entry = self.stored_entry(key)
        self.bytes_by_kind[kind] += len(entry.value)
        return entry

    def _check_available(self) -> None:
        if self.is_down:
            raise errors.StoreUnavailable('The store is down.')

    def _sleep(self) -> defer.Deferred[None]:
        return task.deferLater(self._clock, self._delay, lambda: None)


class MemoryNetwork:
    """Network that carries messages between instances."""

    def __init__(
        self,
        clock: Any,
        delay: Callable[[Instance, Instance], float] = lambda *_: 0.0,
    ) -> None:
        self.clock = clock
        self.delay = delay
        self.handlers_by_id: dict[
            InstanceId, Callable[[messages.Body], Awaitable[messages.Body]]
        ] = {}
        # Pairs (sender, receiver) whose messages are dropped.
        self.dropped_pairs: set[tuple[InstanceId, InstanceId]] = set()
        self.sent_bytes_by_id: collections.Counter[InstanceId] = (
            collections.Counter()
        )
        self.received_bytes_by_id: collections.Counter[InstanceId] = (
            collections.Counter()
        )
        self.sent_by_kind: collections.Counter[str] = collections.Counter()

    def peer_client_of(self, instance: Instance) -> MemoryPeerClient:
        """Return a client that sends requests of an instance to its peers."""
        return MemoryPeerClient(self, instance)

    async def deliver(
        self, sender: Instance, receiver: Instance, body: messages.Body
    ) -> messages.Body:
        """Encode, delay and decode one message."""
        data = frames.encode(messages.Envelope(1, False, body))
        self.sent_bytes_by_id[sender.id] += len(data)
        self.sent_by_kind[type(body).__name__] += 1
        await task.deferLater(
            self.clock, self.delay(sender, receiver), lambda: None
        )
        if (sender.id, receiver.id) in self.dropped_pairs:
            await defer.Deferred()
        self.received_bytes_by_id[receiver.id] += len(data)
        return next(iter(frames.Decoder().feed(data))).body


class MemoryPeerClient:
    """Client through which one instance sends requests to its peers."""

    def __init__(self, network: MemoryNetwork, instance: Instance) -> None:
        self._network = network
        self._instance = instance

    async def request(
        self, peer: Instance, body: messages.Body, seconds: float
    ) -> Any:
        """Send a request to a peer and return its reply."""
        # A request that timed out still arrives later.
        reply: defer.Deferred[Any] = defer.Deferred()
        exchange = defer.ensureDeferred(self._exchange(peer, body))
        exchange.addBoth(lambda result: reply.called or reply.callback(result))
        reply.addTimeout(seconds, self._network.clock)
        try:
            return await reply
        except defer.TimeoutError as error:
            raise errors.PeerUnavailable('The peer did not reply.') from error

    async def _exchange(
        self, peer: Instance, body: messages.Body
    ) -> messages.Body:
        network = self._network
        request = await network.deliver(self._instance, peer, body)
        handle = network.handlers_by_id.get(peer.id)
        if handle is None:
            raise errors.NotRun('The peer refused the connection.')
        reply = await handle(request)
        return await network.deliver(peer, self._instance, reply)
