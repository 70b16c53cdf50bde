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

    def test_watchers_update_all_instances(self) -> None:
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
        # Guards against losing an applied change when the store fails right
        # after the write: the applying instance sends it to the watchers of
        # each data centre before any exchange.
        self.start_with_revision_1(*range(6))
        self.fleet.store.next_write_fault = memory.WriteFault.DOWN_AFTER
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(0.1)
        self.assertEqual(2, results[0].revision)
        self.assertTrue(self.fleet.store.is_down)
        self.assertEqual({2}, self.revisions())

    def test_a_silent_instance_catches_up(self) -> None:
        # Guards against an instance staying behind after missing more changes
        # than a head contains; it fetches the document from a peer.
        self.start_with_revision_1(*range(6))
        self.fleet.cut_off(3)
        for base in range(1, 30):
            self.fleet.apply(0, base, f'b{base}' * 20)
            self.fleet.advance(0.2)
        self.fleet.store.is_down = True
        self.fleet.network.dropped_pairs.clear()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({30}, self.revisions())

    def test_a_large_change_does_not_overload_the_platform(self) -> None:
        # Guards against all instances loading from the platform when a change
        # is too large for a delta.
        self.fleet = fleet_module.Fleet(24)
        self.start_with_revision_1(*range(24))
        before = self.fleet.store.calls_by_kind['read']
        self.fleet.apply(0, 1, *(f'{n:090}' for n in range(200)))
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())
        reads = self.fleet.store.calls_by_kind['read'] - before
        self.assertLessEqual(reads, 2 * 4 + 2)

    def test_an_unreadable_document_is_not_applied(self) -> None:
        # Guards against activating a revision whose digest does not match,
        # polling for it at a high rate, and applying changes based on it.
        self.start_with_revision_1(*range(6))
        store = self.fleet.store
        head = head_module.decode(
            store.stored_entry(head_module.HEAD_KEY).value
        )
        change = msgspec.structs.replace(
            head.changes[0], revision=2, digest='another'
        )
        wrong = msgspec.structs.replace(head, changes=(*head.changes, change))
        version = store.stored_entry(head_module.HEAD_KEY).version
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

    def test_a_malformed_record_does_not_block_its_version(self) -> None:
        # Guards against a malformed record blocking the valid record of the
        # same version.
        self.start_with_revision_1(*range(6))
        malformed = Record(head_module.HEAD_KEY, 2, b'garbled')
        self.fleet.node(0).dissemination.publish(malformed)
        self.fleet.advance(1.0)
        self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())

    def test_a_lost_record_is_recovered(self) -> None:
        # Guards against lost records: instances cut off during dissemination
        # get them from a partner in the next exchange.
        self.fleet = fleet_module.Fleet(12)
        self.start_with_revision_1(*range(12))
        for number in range(12):
            self.fleet.cut_off(number)
        self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(1.0)
        self.assertEqual({1, 2}, self.revisions())
        self.fleet.network.dropped_pairs.clear()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())

    def test_starts_from_peers_while_the_store_is_away(self) -> None:
        # Guards against a new instance serving before its peers answer while
        # the store is down.
        self.start_with_revision_1(*range(6))
        self.fleet.store.is_down = True
        self.fleet.kill(2)
        self.fleet.start(2)
        self.assertEqual(0, self.fleet.node(2).revision)
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    def test_starts_at_the_highest_of_its_peers(self) -> None:
        # Guards against a starting instance using the revision of a single
        # outdated peer that answers first.
        self.start_with_revision_1(0, 1, 2, 3, 4)
        self.fleet.cut_off(1)
        self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.fleet.store.is_down = True
        self.fleet.network.dropped_pairs.clear()
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

    def test_serves_nothing_without_store_and_peers(self) -> None:
        self.fleet.store.is_down = True
        self.fleet.start(0)
        self.fleet.advance(10.0)
        self.assertIsNone(self.fleet.node(0).blackboard.snapshot)

    def test_apply_during_an_outage_never_takes_effect(self) -> None:
        # Guards against a change refused in an outage taking effect later.
        self.start_with_revision_1(*range(6))
        self.fleet.store.is_down = True
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(1.0)
        self.assertRefused(errors.StoreUnavailable, results)
        self.fleet.store.is_down = False
        self.fleet.store.execute_delayed_writes()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    @params(memory.WriteFault.DROPPED, memory.WriteFault.DELAYED)
    def test_refused_write_does_not_land(
        self, fault: memory.WriteFault
    ) -> None:
        # Guards against a delayed write taking effect after the refusal; the
        # fence makes the store reject it.
        self.start_with_revision_1(*range(6))
        self.fleet.store.next_write_fault = fault
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(2.0)
        self.assertRefused(errors.StoreUnavailable, results)
        self.fleet.store.execute_delayed_writes()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())
        self.fleet.apply(1, 1, 'c')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({2}, self.revisions())

    def test_unknown_change_is_resolved_after_an_outage(self) -> None:
        # Guards against a write with unknown outcome taking effect late: the
        # instance fences it once the store is back.
        self.start_with_revision_1(*range(6))
        self.fleet.store.next_write_fault = memory.WriteFault.DELAYED_THEN_DOWN
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(2.0)
        self.assertRefused(errors.ApplyOutcomeUnknown, results)
        self.fleet.store.is_down = False
        self.fleet.advance(2.0)
        self.fleet.store.execute_delayed_writes()
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual({1}, self.revisions())

    def test_a_lost_reply_is_resolved(self) -> None:
        self.start_with_revision_1(*range(6))
        self.fleet.store.next_write_fault = memory.WriteFault.REPLY_LOST
        results = self.fleet.apply(0, 1, 'a', 'b')
        self.fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual(2, results[0].revision)
        self.assertEqual({2}, self.revisions())

    def test_of_two_operators_one_gets_a_conflict(self) -> None:
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
