"""Test leases against a naive model over random histories of instances."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from leases import naive
from leases import world
from yuccarill.core.ids import InstanceId
from yuccarill.core.leases import shards

NAMES = tuple(f'i{n}' for n in range(7))
EVENTS = 8
# The longest recovery: a lease expires, then two delayed claims and two
# requests to the holder.
RECOVERY_SECONDS = 26.0


class DifferentialTest(unittest.TestCase):
    @params(*range(8))
    def test_holders_are_those_of_naive_leases(self, number: int) -> None:
        # Guards against shards that end at the wrong instance, or move
        # without need, after random crashes, restarts, stops and starts.
        generator = random.Random(number)
        cluster = world.World((), tick=0.5)
        reference = naive.NaiveLeases()
        up: set[str] = set()
        for name in NAMES[:4]:
            self._start(cluster, reference, up, name)
        self._compare(cluster, reference)
        for _ in range(EVENTS):
            before = dict(cluster.actor_by_shard)
            epochs = {
                s: le.epoch for s, le in reference.leases_by_shard.items()
            }
            self._apply_random_event(generator, cluster, reference, up)
            self._compare(cluster, reference)
            moved = {
                s for s in before if cluster.actor_by_shard[s] != before[s]
            }
            due = {
                shard
                for shard, lease in reference.leases_by_shard.items()
                if lease.epoch != epochs[shard]
            }
            self.assertEqual(due, moved)
        self.assertEqual([], cluster.faults[:3])

    def _apply_random_event(
        self,
        generator: random.Random,
        cluster: world.World,
        reference: naive.NaiveLeases,
        up: set[str],
    ) -> None:
        down = sorted(set(NAMES) - up)
        name = generator.choice(sorted(up))
        if down and (len(up) < 3 or generator.random() < 0.4):
            self._start(cluster, reference, up, generator.choice(down))
        elif generator.random() < 0.4:
            cluster.crash(name)
            cluster.start(name)
            reference.start(InstanceId(name))
        else:
            if generator.random() < 0.5:
                cluster.leave(name)
                cluster.run_until(lambda: cluster.has_left(name))
            cluster.crash(name)
            up.remove(name)
            reference.stop(InstanceId(name))

    def _start(
        self,
        cluster: world.World,
        reference: naive.NaiveLeases,
        up: set[str],
        name: str,
    ) -> None:
        cluster.start(name)
        up.add(name)
        reference.start(InstanceId(name))

    def _compare(
        self, cluster: world.World, reference: naive.NaiveLeases
    ) -> None:
        cluster.run(RECOVERY_SECONDS)
        acting = cluster.acting()
        found = {s: [name for name, _ in acting[s]] for s in acting}
        expected = {
            shard: [lease.start[0]]
            for shard, lease in reference.leases_by_shard.items()
            if lease.start is not None
        }
        self.assertEqual(shards.SHARD_COUNT, len(expected))
        self.assertEqual(expected, found)
