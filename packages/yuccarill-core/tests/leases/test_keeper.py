"""Test who holds shards as instances come, go, stop and stall."""

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
    """Return a world whose shards are all placed."""
    made = world.World(names)
    made.run(15)
    return made


class KeeperTest(unittest.TestCase):
    @params(SIX[:1], SIX[:2], SIX)
    def test_first_instances_hold_all_shards_soon(self, *names: str) -> None:
        made = world.World(names)
        seconds = made.run_until(lambda: made.covered() == shards.SHARD_COUNT)
        self.assertLessEqual(seconds, 3.0)
        self.assertEqual([], made.faults)

    def test_crashed_holder_is_replaced(self) -> None:
        # An instance loses power. Its session stands still, a watcher
        # revokes it after the lease and the margin, and its shards go to
        # those placed next; the others' shards do not move.
        made = settled()
        before = dict(made.acted_by_shard)
        made.crash('c')
        lost = {s for s, (_, n) in before.items() if n.id == 'c'}
        seconds = made.run_until(lambda: made.covered() == shards.SHARD_COUNT)
        made.run(10)
        moved = {s for s in before if made.acted_by_shard[s] != before[s]}
        longest = POLICY.revocation_time + 2 * POLICY.renewal_period
        self.assertLessEqual(seconds, longest)
        self.assertEqual(lost, moved)
        self.assertEqual([], made.faults)

    def test_paused_holder_gives_no_order_on_waking(self) -> None:
        # A holder is stopped past its lease. Its successor acts under the
        # next epochs; on waking, before any reply reaches it, the holder
        # still finds itself in its table and must act on nothing.
        made = settled()
        node = made.nodes_by_name['b']
        keeper = node.keeper
        held = keeper.held()
        node.is_paused = True
        made.run(12)
        self.assertEqual(held, keeper.held())
        epochs = [
            keeper.epoch_of(shard, node.clock(made.now)) for shard in held
        ]
        self.assertEqual({None}, set(epochs))
        node.is_paused = False
        made.run(20)
        self.assertEqual([], made.faults)
        self.assertIn('b', made.held())

    def test_restart_does_not_inherit(self) -> None:
        # An instance dies and is back under its name at once, while a
        # twin that was only stopped may still act until its lease ends.
        made = settled()
        held = made.nodes_by_name['d'].keeper.held()
        made.crash('d')
        made.start('d')
        made.run(POLICY.time_to_live)
        self.assertEqual(set(), set(held) & set(made.acting()))
        made.run(12)
        self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual([], made.faults)

    def test_restart_waits_for_a_stopped_twin(self) -> None:
        # The platform starts an instance anew while its first process is
        # only stopped. It wakes within its lease and acts, rightly, while
        # the new one has been invited to hold shards.
        made = settled()
        twin = made.nodes_by_name['d']
        made.manner = lambda node, operation: world.Manner(
            delay=1.5 if node is twin else 0.0
        )
        made.nodes_by_name['twin'] = twin
        twin.is_paused = True
        made.start('d').keeper.want_session(Instant(float('inf')))
        made.run(3)
        twin.is_paused = False
        made.run(1)
        twin.is_dead = True
        made.run(20)
        self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual([], made.faults)

    def test_crashed_holder_that_stays_listed_is_not_waited_for(self) -> None:
        seconds = []
        policy = LeasePolicy(watch_paces=(1.0, 1.0))
        for is_seen in (True, False):
            made = world.World(SIX, policy)
            made.run(15)
            made.crash('c', is_seen)
            seconds.append(
                made.run_until(lambda: made.covered() == shards.SHARD_COUNT)
            )
        self.assertEqual(seconds[0], seconds[1])

    def test_differing_views_do_not_drag_shards(self) -> None:
        # A newcomer sees only itself and thinks that all shards are its
        # own. Given what it asks for, it would give that back on seeing
        # the others, again and again.
        made = settled(SIX[:5])
        made.start('f')
        made.nodes_by_name['f'].keeper.set_live(())
        made.run(20)
        self.assertLess(made.held()['f'], shards.SHARD_COUNT / 3)

    def test_view_of_members_takes_no_shard(self) -> None:
        # One instance sees no other any more; those others live. It asks
        # nobody and takes nothing, since no session stood still.
        made = settled()
        before = made.held()
        writes = made.store.calls_by_step[Step.TAKE]
        made.nodes_by_name['a'].keeper.set_live(())
        made.run(30)
        self.assertEqual(before, made.held())
        self.assertEqual(writes, made.store.calls_by_step[Step.TAKE])

    def test_newcomer_gets_its_part_once(self) -> None:
        made = settled(SIX[:5])
        before = dict(made.acted_by_shard)
        made.start('f')
        made.run(15)
        moved = {s for s in before if made.acted_by_shard[s] != before[s]}
        self.assertEqual(made.held()['f'], len(moved))
        made.run(30)
        self.assertEqual(made.held()['f'], len(moved))
        self.assertEqual([], made.faults)

    def test_short_visit_moves_nothing(self) -> None:
        made = settled(SIX[:5])
        before = dict(made.acted_by_shard)
        made.start('f')
        made.run(POLICY.settle_time - 1)
        made.crash('f')
        made.run(20)
        self.assertEqual(before, made.acted_by_shard)

    def test_busy_shard_stays(self) -> None:
        made = settled(SIX[:1])
        newcomer = made.start('f')
        keeper = made.nodes_by_name['a'].keeper
        to = Holder(newcomer.id, SessionId('s'))
        placed = keeper.consent(to, keeper.held())
        given = keeper.consent(to, keeper.held(), frozenset(placed[:1]))
        self.assertEqual(placed[1:], given)

    @params(0.0, 0.5)
    def test_hand_over_leaves_no_gap(self, delay: float) -> None:
        # A graceful shutdown names the heirs' sessions in the very write
        # that ends its own hold, so each shard has no holder only while
        # that write and its news are on their way.
        made = settled()
        made.manner = lambda node, operation: world.Manner(delay=delay)
        made.leave('e')
        gap = 0.0
        while not made.has_left('e'):
            made.run(world.TICK)
            if made.covered() < shards.SHARD_COUNT:
                gap += world.TICK
        self.assertLessEqual(gap, 2 * world.TICK + delay)
        self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual([], made.faults)

    def test_two_crashes_at_once(self) -> None:
        made = settled()
        made.crash('a')
        made.crash('b')
        made.run_until(lambda: made.covered() == shards.SHARD_COUNT)
        self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual([], made.faults)


class OutageTest(unittest.TestCase):
    def test_slow_store_holds_leases(self) -> None:
        # Every reply takes 1.5 seconds; deadlines count from the sending
        # of a renewal and still leave time for the next one.
        made = settled()
        before = dict(made.acted_by_shard)
        made.manner = lambda node, operation: world.Manner(delay=1.5)
        for _ in range(120):
            made.run(world.TICK)
            self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual(before, made.acted_by_shard)

    @params(3.0, 20.0, 300.0)
    def test_outage_moves_no_shard(self, seconds: float) -> None:
        # The store is away. Holders stop when their leases end; when it is
        # back every session is old, but nobody could renew, so nobody's is
        # revoked and each holder goes on under its old epochs.
        made = settled()
        before = dict(made.acted_by_shard)
        made.manner = lambda node, operation: world.Manner(is_down=True)
        made.run(seconds)
        if seconds > POLICY.time_to_live:
            self.assertEqual(0, made.covered())
        made.manner = lambda node, operation: world.Manner()
        made.run(POLICY.revocation_time * 3)
        self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual(before, made.acted_by_shard)

    def test_lost_replies_of_renewals_hold_leases(self) -> None:
        # Each renewal takes effect and its reply is lost. The holder reads
        # its beat back and counts from when that beat was sent.
        made = settled()
        before = dict(made.acted_by_shard)
        made.manner = lambda node, operation: world.Manner(
            loses_reply=operation.step is Step.RENEW
        )
        for _ in range(120):
            made.run(world.TICK)
            self.assertEqual(shards.SHARD_COUNT, made.covered())
        self.assertEqual(before, made.acted_by_shard)
