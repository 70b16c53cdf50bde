"""Test the assignment of duties to shards."""

from __future__ import annotations

import collections
import unittest

from yuccarill.core.leases import shards


class ShardsTest(unittest.TestCase):
    def test_every_instance_finds_the_same_shard(self) -> None:
        # Instances that disagree on a duty's shard would both act on it, so
        # the assignment is part of the protocol.
        self.assertEqual(57, shards.shard_of('trainer/forecast'))

    def test_targets_spread_over_all_shards(self) -> None:
        duties = (shards.target_duty(f'e{n}') for n in range(1300))
        counts = collections.Counter(map(shards.shard_of, duties))
        self.assertEqual(shards.SHARD_COUNT, len(counts))
        self.assertLess(max(counts.values()), 40)
