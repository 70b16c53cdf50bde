"""Test lease controllers with a simulated store and peers."""

from __future__ import annotations

import random
from typing import Any
import unittest

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.blackboard import Blackboard
from yuccarill.core import errors
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.leases import shards
from yuccarill.core.membership.instances import Instance
from yuccarill.daemon.adapters.key_value import Entry
from yuccarill.daemon.controllers import leases

NAMES = ('a', 'b')


class FakeSystem:
    """Simulate the store, peers, membership and dissemination."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.entries_by_key: dict[str, Entry] = {}
        self.fault: Exception | None = None
        self.callbacks: list[Any] = []
        self.controllers_by_id: dict[str, leases.LeaseController] = {}
        self.boards_by_id: dict[str, Blackboard] = {}

    def add(self, name: str) -> None:
        me = Instance(
            id=InstanceId(name),
            data_centre=DataCentreId('dc'),
            host='127.0.0.1',
            http_port=1,
            peer_port=2,
        )
        board = Blackboard(own_instance=me)
        self.boards_by_id[name] = board
        system: Any = self
        controller = leases.LeaseController(
            board,
            Incarnation(f'{name}1'),
            system,
            system,
            system,
            system,
            random.Random(1),
            self.clock,
            lambda: Instant(self.clock.seconds()),
        )
        self.controllers_by_id[name] = controller
        for known in self.boards_by_id.values():
            known.instances_by_id = {
                other: b.own_instance for other, b in self.boards_by_id.items()
            }
        defer.ensureDeferred(controller.follow())

    def live(self) -> list[Instance]:
        boards = self.boards_by_id.values()
        return [board.own_instance for board in boards if not board.is_leaving]

    async def get(self, key: str) -> Entry:
        if self.fault:
            raise self.fault
        return self.entries_by_key.get(key, Entry(0, b''))

    async def swap(self, key: str, value: bytes, expected: int) -> int:
        if self.fault:
            raise self.fault
        found = self.entries_by_key.get(key, Entry(0, b''))
        if found.version != expected:
            raise errors.StoreConflict('Another write came first.')
        self.entries_by_key[key] = Entry(expected + 1, value)
        return expected + 1

    def subscribe(self, key: str, callback: Any) -> None:
        self.callbacks.append(callback)

    async def watch(self, key: str) -> None:
        return None

    def publish(self, record: Any) -> None:
        for callback in self.callbacks:
            callback(record)

    receive = publish

    async def request(self, peer: Instance, body: Any, seconds: float) -> Any:
        return await self.controllers_by_id[peer.id].handle(body)

    def run(self, seconds: float) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))

    def held(self, name: str) -> int:
        return len(self.controllers_by_id[name].held())


class LeaseControllerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.system = FakeSystem()
        self.system.add('a')
        self.system.run(1)

    def test_only_instance_holds_every_duty(self) -> None:
        controller = self.system.controllers_by_id['a']
        self.assertEqual(1, controller.epoch_for('trainer/t'))
        self.assertEqual('a', controller.holder_of('trainer/t').id)

    def test_graceful_shutdown_transfers_all_shards(self) -> None:
        # Guards against a gap between holders on graceful shutdown: the write
        # that ends a lease names the session of the successor.
        self.system.add('b')
        self.system.run(10)
        self.assertGreater(self.system.held('a'), 0)
        self.system.boards_by_id['a'].is_leaving = True
        released = self.system.controllers_by_id['a'].release_all()
        done = defer.ensureDeferred(released)
        self.system.run(1)
        self.assertTrue(done.called)
        self.assertEqual(shards.SHARD_COUNT, self.system.held('b'))
        self.assertEqual(0, self.system.held('a'))

    def test_recovers_from_an_unexpected_store_error(self) -> None:
        # Guards against an unexpected error permanently ending lease renewal.
        self.system.fault = RuntimeError('unforeseen')
        self.system.run(20)
        self.assertEqual(0, self.system.held('a'))
        self.system.fault = None
        self.system.run(2)
        self.assertEqual(shards.SHARD_COUNT, self.system.held('a'))
