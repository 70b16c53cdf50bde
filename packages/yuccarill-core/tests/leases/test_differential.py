"""Test leases against naive ones over random histories of instances."""

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
# The longest way round: a lease ends, then two turns of patience and of
# asking the holder.
QUIET_SECONDS = 26.0


class DifferentialTest(unittest.TestCase):
    @params(*range(8))
    def test_holders_are_those_of_naive_leases(self, number: int) -> None:
        # Instances crash, restart, stop and come in some order. When it is
        # quiet, each shard is where a store with one true clock would have
        # put it, and no shard changed hands that it would have left.
        generator = random.Random(number)
        made = world.World((), tick=0.5)
        plain = naive.NaiveLeases()
        up: set[str] = set()
        for name in NAMES[:4]:
            self._start(made, plain, up, name)
        self._compare(made, plain)
        for _ in range(EVENTS):
            before = dict(made.acted_by_shard)
            epochs = {s: le.epoch for s, le in plain.leases_by_shard.items()}
            self._happen(generator, made, plain, up)
            self._compare(made, plain)
            moved = {s for s in before if made.acted_by_shard[s] != before[s]}
            due = {
                shard
                for shard, lease in plain.leases_by_shard.items()
                if lease.epoch != epochs[shard]
            }
            self.assertEqual(due, moved)
        self.assertEqual([], made.faults[:3])

    def _happen(
        self,
        generator: random.Random,
        made: world.World,
        plain: naive.NaiveLeases,
        up: set[str],
    ) -> None:
        down = sorted(set(NAMES) - up)
        name = generator.choice(sorted(up))
        if down and (len(up) < 3 or generator.random() < 0.4):
            self._start(made, plain, up, generator.choice(down))
        elif generator.random() < 0.4:
            made.crash(name)
            made.start(name)
            plain.start(InstanceId(name))
        else:
            if generator.random() < 0.5:
                made.leave(name)
                made.run_until(lambda: made.has_left(name))
            made.crash(name)
            up.remove(name)
            plain.stop(InstanceId(name))

    def _start(
        self,
        made: world.World,
        plain: naive.NaiveLeases,
        up: set[str],
        name: str,
    ) -> None:
        made.start(name)
        up.add(name)
        plain.start(InstanceId(name))

    def _compare(self, made: world.World, plain: naive.NaiveLeases) -> None:
        made.run(QUIET_SECONDS)
        acting = made.acting()
        found = {s: [name for name, _ in acting[s]] for s in acting}
        expected = {
            shard: [lease.start[0]]
            for shard, lease in plain.leases_by_shard.items()
            if lease.start is not None
        }
        self.assertEqual(shards.SHARD_COUNT, len(expected))
        self.assertEqual(expected, found)
