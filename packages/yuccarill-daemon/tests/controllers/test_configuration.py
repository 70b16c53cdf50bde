"""Test that a configuration reaches every instance and never reverts."""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params
from twisted.python import failure

from yuccarill.core.config import head as head_module
from yuccarill.core.dissemination.record import Record
from yuccarill.core import errors
from yuccarill.standins import memory

from controllers import fleet as fleet_module

IN_FORCE_SECONDS = 3.0


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = fleet_module.Fleet(6)

    def revisions(self) -> set[int]:
        return {node.revision for node in self.fleet.nodes_by_id.values()}

    def start_with_revision_1(self, *numbers: int) -> None:
        self.fleet.start(*numbers)
        self.fleet.apply(numbers[0], 0, 'a')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    def test_few_watch_and_all_follow(self) -> None:
        self.start_with_revision_1(*range(6))
        for base in range(1, 40):
            results = self.fleet.apply(base % 6, base, 'a', f'b{base}')
            self.fleet.advance(0.5)
            self.assertEqual(base + 1, results[0].revision)
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({40}, self.revisions())
        calls = self.fleet.store.calls_by_kind
        self.assertLessEqual(calls['write'], 40 + 2 * 3)

    def test_store_goes_away_right_after_the_write(self) -> None:
        # The operator is told that the change stands; then the store is
        # gone and no watcher hears of it. The instance that applied it
        # sends it to the watchers of every data centre, so it is in force
        # everywhere all the same, before any exchange could bring it.
        self.start_with_revision_1(*range(6))
        self.fleet.store.fault = memory.WriteFault.DOWN_AFTER
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(0.1)
        self.assertEqual(2, results[0].revision)
        self.assertTrue(self.fleet.store.is_down)
        self.assertEqual({2}, self.revisions())

    def test_a_silent_instance_catches_up(self) -> None:
        # One instance hears nothing while many changes are made, more than
        # a head carries on its way. Once it hears again it finds the gap,
        # fetches the whole document from a peer and is up to date.
        self.start_with_revision_1(*range(6))
        self.fleet.cut_off(3)
        for base in range(1, 30):
            self.fleet.apply(0, base, f'b{base}' * 20)
            self.fleet.advance(0.2)
        self.fleet.store.is_down = True
        self.fleet.network.silent.clear()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({30}, self.revisions())

    def test_a_large_change_does_not_rush_the_platform(self) -> None:
        # A change is too large to travel as a delta, so every instance has
        # a gap at once. The watchers fetch the document from the platform,
        # all others from the watchers, and nobody is late.
        self.fleet = fleet_module.Fleet(24)
        self.start_with_revision_1(*range(24))
        before = self.fleet.store.calls_by_kind['read']
        self.fleet.apply(0, 1, *(f'{n:090}' for n in range(200)))
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())
        reads = self.fleet.store.calls_by_kind['read'] - before
        self.assertLessEqual(reads, 2 * 4 + 2)

    def test_a_document_nobody_can_read_is_not_taken(self) -> None:
        # A later program wrote a revision whose digest this one does not
        # come to. Every instance keeps what it has and asks again, but
        # seldom, and none builds a change of its own on it.
        self.start_with_revision_1(*range(6))
        store = self.fleet.store
        head = head_module.decode(store.peek(head_module.HEAD_KEY).value)
        change = msgspec.structs.replace(
            head.changes[0], revision=2, digest='another'
        )
        wrong = msgspec.structs.replace(head, changes=(*head.changes, change))
        version = store.peek(head_module.HEAD_KEY).version
        self.fleet.outcome(
            store.swap(
                head_module.HEAD_KEY, head_module.encode(wrong), version
            )
        )
        self.fleet.advance(5.0)
        before = store.calls_by_kind['read']
        self.fleet.advance(60.0)
        self.assertEqual({1}, self.revisions())
        reads = store.calls_by_kind['read'] - before
        self.assertLess(reads, 6 * 60)
        results = self.fleet.apply(0, 2, 'b')
        self.fleet.advance(1.0)
        self.assertRefused(errors.StoreUnavailable, results)

    def test_a_garbled_record_does_not_block_its_version(self) -> None:
        # A record whose body can't be read spreads under the version that
        # the next revision will have. That revision's own record is no
        # longer newer, but whoever met the gap looks for the document.
        self.start_with_revision_1(*range(6))
        garbled = Record(head_module.HEAD_KEY, 2, b'garbled')
        self.fleet.node(0).dissemination.publish(garbled)
        self.fleet.advance(1.0)
        self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())

    def test_a_lost_copy_is_made_good(self) -> None:
        # Nobody hears of a change but the watchers: all else are cut off
        # while it goes down the tree. Nothing is sent again, but each finds
        # a partner with a higher version at its next exchange.
        self.fleet = fleet_module.Fleet(12)
        self.start_with_revision_1(*range(12))
        for number in range(12):
            self.fleet.cut_off(number)
        self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(1.0)
        self.assertEqual({1, 2}, self.revisions())
        self.fleet.network.silent.clear()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())

    def test_starts_from_peers_while_the_store_is_away(self) -> None:
        # The store is down and an instance is replaced. The new one must
        # not serve before its peers have answered, and then what they have.
        self.start_with_revision_1(*range(6))
        self.fleet.store.is_down = True
        self.fleet.kill(2)
        self.fleet.start(2)
        self.assertEqual(0, self.fleet.node(2).revision)
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    def test_starts_at_the_highest_of_its_peers(self) -> None:
        # One peer lags, cut off from the others, and a new instance starts
        # without the store. It asks several and takes the highest; the
        # laggard's answer alone, though first, must not come into force.
        self.start_with_revision_1(0, 1, 2, 3, 4)
        self.fleet.cut_off(1)
        self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.fleet.store.is_down = True
        self.fleet.network.silent.clear()
        ids = [instance.id for instance in self.fleet.instances]
        self.fleet.network.delay = lambda a, b: (
            0.0 if ids[1] in (a.id, b.id) else 0.1
        )
        self.fleet.node(1).dissemination.exchange_with = None
        self.fleet.start(5)
        seen = set()
        for _ in range(60):
            self.fleet.advance(0.05)
            seen.add(self.fleet.node(5).revision)
        self.assertEqual({0, 2}, seen)

    def test_serves_nothing_with_neither(self) -> None:
        self.fleet.store.is_down = True
        self.fleet.start(0)
        self.fleet.advance(10.0)
        self.assertIsNone(self.fleet.node(0).blackboard.snapshot)

    def test_apply_during_an_outage_never_takes_effect(self) -> None:
        # The store is down when the operator applies. The refusal is plain,
        # and when the store comes back nothing of the change turns up.
        self.start_with_revision_1(*range(6))
        self.fleet.store.is_down = True
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(1.0)
        self.assertRefused(errors.StoreUnavailable, results)
        self.fleet.store.is_down = False
        self.fleet.store.land_delayed()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    @params(memory.WriteFault.DROPPED, memory.WriteFault.DELAYED)
    def test_refused_write_does_not_land(
        self, fault: memory.WriteFault
    ) -> None:
        # The swap is held up in the network and the operator is refused.
        # It arrives after the refusal; the fence has moved the version on,
        # so the service turns it away and nothing changes anywhere.
        self.start_with_revision_1(*range(6))
        self.fleet.store.fault = fault
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(2.0)
        self.assertRefused(errors.StoreUnavailable, results)
        self.fleet.store.land_delayed()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())
        self.fleet.apply(1, 1, 'c')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())

    def test_unknown_change_is_settled_when_the_store_is_back(self) -> None:
        # The swap is held up and the store goes down before anything can be
        # read back: the operator is told "unknown". As soon as the store
        # answers, the instance fences the write; it can land no more.
        self.start_with_revision_1(*range(6))
        self.fleet.store.fault = memory.WriteFault.DELAYED_THEN_DOWN
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(2.0)
        self.assertRefused(errors.ApplyOutcomeUnknown, results)
        self.fleet.store.is_down = False
        self.fleet.advance(2.0)
        self.fleet.store.land_delayed()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    def test_a_lost_reply_is_settled(self) -> None:
        self.start_with_revision_1(*range(6))
        self.fleet.store.fault = memory.WriteFault.REPLY_LOST
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual(2, results[0].revision)
        self.assertEqual({2}, self.revisions())

    def test_of_two_operators_one_is_told_of_the_other(self) -> None:
        self.start_with_revision_1(*range(6))
        both = [self.fleet.apply(n, 1, 'a', f'b{n}') for n in (0, 1)]
        self.fleet.advance(IN_FORCE_SECONDS)
        refused = [r[0] for r in both if isinstance(r[0], failure.Failure)]
        self.assertEqual(1, len(refused))
        self.assertRefused(errors.RevisionConflict, refused)
        message = refused[0].value.message
        self.assertRegex(message, 'Revision 2 by operator-[01] is current')
        self.assertRegex(message, 'models b[01]')
        self.assertEqual({2}, self.revisions())

    def test_audit_trail_holds_every_change(self) -> None:
        self.start_with_revision_1(*range(6))
        for base in range(1, 50):
            self.fleet.apply(base % 6, base, f'b{base}')
            self.fleet.advance(0.2)
        found: list[int] = []
        last = None
        while last != 0:
            pages = self.fleet.outcome(
                self.fleet.node(4).configuration.audit(last)
            )
            self.fleet.advance(0.2)
            found = [c.revision for c in pages[0].changes] + found
            last = pages[0].previous
        self.assertEqual(list(range(1, 51)), found)

    def assertRefused(  # noqa: N802
        self, error: type[Exception], results: list[failure.Failure]
    ) -> None:
        self.assertIsInstance(results[0].value, error)
