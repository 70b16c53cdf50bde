"""Test which tables and replies are accepted."""

from __future__ import annotations

import itertools
import random
import unittest

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import SessionId
from yuccarill.core.ids import ShardNumber
from yuccarill.core.leases import operations
from yuccarill.core.leases import policy
from yuccarill.core.leases import table
from yuccarill.core.leases import table_manager

SHARD = ShardNumber(3)
OLD = table.EMPTY.moved(
    {SHARD: table.Holder(InstanceId('a'), SessionId('a.1'))}
)
NEW = OLD.moved({SHARD: table.Holder(InstanceId('b'), SessionId('b.1'))})
NOW = Instant(1.0)


class TableManagerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper = table_manager.TableManager(
            policy.LeasePolicy(), random.Random(1), itertools.count(1)
        )

    def test_older_table_is_dropped(self) -> None:
        # A late copy of an older table would restore a former holder.
        self.keeper.offer(5, table.encode(NEW))
        self.assertFalse(self.keeper.offer(4, table.encode(OLD)))
        self.assertEqual(NEW, self.keeper.table)

    def test_duplicate_of_an_earlier_reply_is_dropped(self) -> None:
        # A duplicate reply must not count as the reply of the call that is
        # in flight.
        read = self.keeper.read(NOW)
        assert read is not None
        found = operations.Found(4, table.encode(OLD))
        self.keeper.complete(read, found, NOW)
        change = self.keeper.change(
            operations.Step.TRANSFER, {SHARD: None}, NOW
        )
        self.assertFalse(self.keeper.complete(read, found, NOW))
        self.assertFalse(self.keeper.can_write(NOW))
        self.keeper.complete(change, operations.Unknown(), NOW)
        self.assertTrue(self.keeper.is_in_transfer(SHARD))
        self.keeper.offer(5, table.encode(NEW))
        self.assertFalse(self.keeper.is_in_transfer(SHARD))
