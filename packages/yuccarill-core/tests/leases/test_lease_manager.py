"""Test who holds shards when instances start, stop, crash or pause."""

from __future__ import annotations

import unittest

from nose2.tools import params

from leases import world
from yuccarill.core.ids import Instant
from yuccarill.core.ids import SessionId
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases.policy import LeasePolicy
from yuccarill.core.leases import shards
from yuccarill.core.leases.table import Holder

SIX = ('a', 'b', 'c', 'd', 'e', 'f')
POLICY = LeasePolicy()


def settled(names: tuple[str, ...] = SIX) -> world.World:
    """Return a world whose shards all have holders."""
    cluster = world.World(names)
    cluster.run(15)
    return cluster


class LeaseManagerTest(unittest.TestCase):
    @params(SIX[:1], SIX[:2], SIX)
    def test_first_instances_hold_all_shards_soon(self, *names: str) -> None:
        cluster = world.World(names)
        seconds = cluster.run_until(
            lambda: cluster.covered() == shards.SHARD_COUNT
        )
        self.assertLessEqual(seconds, 3.0)
        self.assertEqual([], cluster.faults)

    def test_crashed_holder_is_replaced(self) -> None:
        # After a crash a watcher revokes the session, and only the shards
        # of the crashed holder move.
        cluster = settled()
        before = dict(cluster.actor_by_shard)
        cluster.crash('c')
        lost = {s for s, (_, n) in before.items() if n.id == 'c'}
        seconds = cluster.run_until(
            lambda: cluster.covered() == shards.SHARD_COUNT
        )
        cluster.run(10)
        moved = {s for s in before if cluster.actor_by_shard[s] != before[s]}
        longest = POLICY.revocation_time + 2 * POLICY.renewal_period
        self.assertLessEqual(seconds, longest)
        self.assertEqual(lost, moved)
        self.assertEqual([], cluster.faults)

    def test_resumed_holder_sends_no_order(self) -> None:
        # A holder that resumes after its lease still has itself in its
        # cached table and must not act beside its successor.
        cluster = settled()
        node = cluster.nodes_by_name['b']
        keeper = node.keeper
        held = keeper.held()
        node.is_paused = True
        cluster.run(12)
        self.assertEqual(held, keeper.held())
        epochs = [
            keeper.epoch_of(shard, node.clock(cluster.now)) for shard in held
        ]
        self.assertEqual({None}, set(epochs))
        node.is_paused = False
        cluster.run(20)
        self.assertEqual([], cluster.faults)
        self.assertIn('b', cluster.held())

    def test_restart_does_not_inherit(self) -> None:
        # A restarted instance must not act on its former shards while its
        # previous process may be paused, not dead, and still act.
        cluster = settled()
        held = cluster.nodes_by_name['d'].keeper.held()
        cluster.crash('d')
        cluster.start('d')
        cluster.run(POLICY.time_to_live)
        self.assertEqual(set(), set(held) & set(cluster.acting()))
        cluster.run(12)
        self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual([], cluster.faults)

    def test_restart_waits_for_paused_process(self) -> None:
        # The previous process of a restarted instance resumes within its
        # lease and acts; the new process must wait for the lease to expire.
        cluster = settled()
        previous = cluster.nodes_by_name['d']
        cluster.mode = lambda node, operation: world.CallMode(
            delay=1.5 if node is previous else 0.0
        )
        cluster.nodes_by_name['previous'] = previous
        previous.is_paused = True
        cluster.start('d').keeper.keep_session_open(Instant(float('inf')))
        cluster.run(3)
        previous.is_paused = False
        cluster.run(1)
        previous.is_dead = True
        cluster.run(20)
        self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual([], cluster.faults)

    def test_crashed_holder_that_stays_listed_is_not_waited_for(self) -> None:
        seconds = []
        policy = LeasePolicy(watch_paces=(1.0, 1.0))
        for is_seen in (True, False):
            cluster = world.World(SIX, policy)
            cluster.run(15)
            cluster.crash('c', is_seen)
            seconds.append(
                cluster.run_until(
                    lambda: cluster.covered() == shards.SHARD_COUNT
                )
            )
        self.assertEqual(seconds[0], seconds[1])

    def test_differing_views_move_no_shards(self) -> None:
        # A new instance that sees no peer requests all shards. Granting
        # them would move shards back and forth.
        cluster = settled(SIX[:5])
        cluster.start('f')
        cluster.nodes_by_name['f'].keeper.set_live(())
        cluster.run(20)
        self.assertLess(cluster.held()['f'], shards.SHARD_COUNT / 3)

    def test_instance_without_peers_claims_no_shard(self) -> None:
        # An instance that sees no live peer must not claim shards whose
        # holders still renew their sessions.
        cluster = settled()
        before = cluster.held()
        writes = cluster.store.calls_by_step[Step.CLAIM]
        cluster.nodes_by_name['a'].keeper.set_live(())
        cluster.run(30)
        self.assertEqual(before, cluster.held())
        self.assertEqual(writes, cluster.store.calls_by_step[Step.CLAIM])

    def test_new_instance_receives_its_shards_once(self) -> None:
        cluster = settled(SIX[:5])
        before = dict(cluster.actor_by_shard)
        cluster.start('f')
        cluster.run(15)
        moved = {s for s in before if cluster.actor_by_shard[s] != before[s]}
        self.assertEqual(cluster.held()['f'], len(moved))
        cluster.run(30)
        self.assertEqual(cluster.held()['f'], len(moved))
        self.assertEqual([], cluster.faults)

    def test_short_lived_instance_moves_no_shard(self) -> None:
        cluster = settled(SIX[:5])
        before = dict(cluster.actor_by_shard)
        cluster.start('f')
        cluster.run(POLICY.settle_time - 1)
        cluster.crash('f')
        cluster.run(20)
        self.assertEqual(before, cluster.actor_by_shard)

    def test_busy_shard_stays(self) -> None:
        cluster = settled(SIX[:1])
        newcomer = cluster.start('f')
        keeper = cluster.nodes_by_name['a'].keeper
        to = Holder(newcomer.id, SessionId('s'))
        placed = keeper.transfer_requested(to, keeper.held())
        given = keeper.transfer_requested(
            to, keeper.held(), frozenset(placed[:1])
        )
        self.assertEqual(placed[1:], given)

    @params(0.0, 0.5)
    def test_hand_over_leaves_no_gap(self, delay: float) -> None:
        # A graceful shutdown transfers each shard by one write, so a shard
        # has no holder only while that write and the new table propagate.
        cluster = settled()
        cluster.mode = lambda node, operation: world.CallMode(delay=delay)
        cluster.leave('e')
        gap = 0.0
        while not cluster.has_left('e'):
            cluster.run(world.TICK)
            if cluster.covered() < shards.SHARD_COUNT:
                gap += world.TICK
        self.assertLessEqual(gap, 2 * world.TICK + delay)
        self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual([], cluster.faults)

    def test_two_crashes_at_once(self) -> None:
        cluster = settled()
        cluster.crash('a')
        cluster.crash('b')
        cluster.run_until(lambda: cluster.covered() == shards.SHARD_COUNT)
        self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual([], cluster.faults)


class OutageTest(unittest.TestCase):
    def test_slow_store_holds_leases(self) -> None:
        # Replies that take 1.5 seconds must not expire leases.
        cluster = settled()
        before = dict(cluster.actor_by_shard)
        cluster.mode = lambda node, operation: world.CallMode(delay=1.5)
        for _ in range(120):
            cluster.run(world.TICK)
            self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual(before, cluster.actor_by_shard)

    @params(3.0, 20.0, 300.0)
    def test_outage_moves_no_shard(self, seconds: float) -> None:
        # Leases expire during an outage of the store, but no session is
        # revoked after it: each holder resumes under its old epochs.
        cluster = settled()
        before = dict(cluster.actor_by_shard)
        cluster.mode = lambda node, operation: world.CallMode(is_down=True)
        cluster.run(seconds)
        if seconds > POLICY.time_to_live:
            self.assertEqual(0, cluster.covered())
        cluster.mode = lambda node, operation: world.CallMode()
        cluster.run(POLICY.revocation_time * 3)
        self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual(before, cluster.actor_by_shard)

    def test_lost_replies_of_renewals_hold_leases(self) -> None:
        # A renewal whose reply is lost is confirmed by reading the record.
        cluster = settled()
        before = dict(cluster.actor_by_shard)
        cluster.mode = lambda node, operation: world.CallMode(
            loses_reply=operation.step is Step.RENEW
        )
        for _ in range(120):
            cluster.run(world.TICK)
            self.assertEqual(shards.SHARD_COUNT, cluster.covered())
        self.assertEqual(before, cluster.actor_by_shard)
