"""Test how changes in the store update the state of a process."""

from __future__ import annotations

import msgspec
from nose2.tools import params
from twisted.internet import defer

from yuccarill.core.gateway import partitions
from yuccarill.core.gateway.targets import TargetList
from yuccarill.core.ids import TargetId
from yuccarill.daemon.gateway.store import observer
from yuccarill.platform import keys
from yuccarill.platform import store

from . import world

ENTRY = {
    'service': world.SERVICE,
    'address': '10.0.0.1:80',
    'zone': 'd',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 4,
    'born': 1,
}


class TargetEntriesTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.observed = self.state('a')
        self.observed.targets = TargetList()
        self.observer = observer.Observer(
            self.observed, self.store, self.clock
        )
        self.restarted: list[object] = []
        self.observer.on_restart = self.restarted.append
        for following in self.observer.follow_coroutines():
            running = defer.Deferred.fromCoroutine(following)
            running.addErrback(lambda failure: failure.trap(Exception))
            self.addCleanup(running.cancel)

    def write(self, name: str, value: bytes) -> None:
        self.keys.put(f'{keys.TARGET_PREFIX}{name}', value)
        self.run_for(2.0)

    def ready(self) -> list[str]:
        return sorted(self.observed.targets.ready(world.SERVICE))

    @params(
        b'\xff',
        b'{}',
        msgspec.json.encode({**ENTRY, 'state': 'unknown'}),
        msgspec.json.encode({**ENTRY, 'slots': 'four'}),
        # Nested more deeply than the decoder goes.
        b'{"note":' + b'[' * 2000 + b']' * 2000 + b'}',
        msgspec.json.encode({**ENTRY, 'seq': 0})[:-2] + b'9' * 400 + b'}',
    )
    def test_an_invalid_entry_removes_one_target_only(
        self, value: bytes
    ) -> None:
        """Guard against requests to an address that may be out of date.

        The target is listed again after its next heartbeat.
        """
        self.write('t0', msgspec.json.encode(ENTRY))
        self.write('t1', msgspec.json.encode(ENTRY))
        self.write('t0', value)
        self.assertEqual(['t1'], self.ready())
        self.write('t0', msgspec.json.encode(ENTRY))
        self.assertEqual(['t0', 't1'], self.ready())

    def test_a_failed_change_does_not_end_the_following(self) -> None:
        """Guard against an instance that misses all later changes."""

        def fail(_: object) -> None:
            raise KeyError('x')

        self.observer.on_start = fail
        self.write('t0', msgspec.json.encode(ENTRY))
        self.observer.on_start = lambda _: None
        self.write('t1', msgspec.json.encode(ENTRY))
        self.assertEqual(['t0', 't1'], self.ready())

    def test_a_failed_listener_does_not_end_the_following(self) -> None:
        """Guard against an instance that misses all later changes."""
        heard: list[int] = []

        def fail() -> None:
            raise KeyError('x')

        self.observer.add_listener(fail)
        self.observer.add_listener(lambda: heard.append(1))
        self.write('t0', msgspec.json.encode(ENTRY))
        self.write('t1', msgspec.json.encode(ENTRY))
        self.assertEqual(['t0', 't1'], self.ready())
        self.assertGreaterEqual(len(heard), 2)

    def test_a_restart_under_the_same_id_is_reported(self) -> None:
        self.write('t0', msgspec.json.encode(ENTRY))
        known = self.observed.targets.targets_by_id[TargetId('t0')]
        self.write('t0', msgspec.json.encode({**ENTRY, 'seq': 9}))
        self.assertEqual([], self.restarted)
        self.write('t0', msgspec.json.encode({**ENTRY, 'born': 2, 'seq': 1}))
        self.assertEqual([known.id], [target.id for target in self.restarted])
        found = self.observed.targets.targets_by_id[TargetId('t0')]
        self.assertEqual(2, found.start.started_at)

    # Stored value and expected division.
    @params(
        (msgspec.msgpack.encode(1), partitions.UNDIVIDED),
        (msgspec.msgpack.encode(3), partitions.Division(parts=3)),
        (
            partitions.encode(partitions.division_for(2667)),
            partitions.Division(parts=9, is_by_items=True),
        ),
    )
    def test_a_division_of_any_version_is_read(
        self, value: bytes, expected: partitions.Division
    ) -> None:
        """Guard against an unread division, without which no job runs."""
        self.keys.put(keys.partitions(world.SERVICE), value)
        self.run_for(2.0)
        self.assertEqual(expected, self.observed.division(world.SERVICE))

    def test_a_batch_of_changes_is_reported_once(self) -> None:
        """Guard against a scan of all engines for each of many changes."""
        self.run_for(2.0)
        notifications: list[None] = []
        self.observer.add_listener(lambda: notifications.append(None))
        writes = [
            store.Write(
                key=f'{keys.TARGET_PREFIX}t{number}',
                value=msgspec.json.encode(ENTRY),
            )
            for number in range(300)
        ]
        self.keys.commit(writes, ())
        self.run_for(2.0)
        self.assertEqual(300, len(self.ready()))
        self.assertLessEqual(len(notifications), 2)

    def test_listeners_never_see_part_of_a_batch(self) -> None:
        """Guard against work sent to a target that leaves within a batch."""
        self.write('t0', msgspec.json.encode(ENTRY))
        seen: list[bool] = []
        self.observer.add_listener(lambda: seen.append('t0' in self.ready()))
        changes = [
            store.Write(
                key=f'{keys.TARGET_PREFIX}a{number}',
                value=msgspec.json.encode(ENTRY),
            )
            for number in range(20)
        ]
        leaving = store.Write(
            key=f'{keys.TARGET_PREFIX}t0',
            value=msgspec.json.encode({**ENTRY, 'state': 'draining'}),
        )
        self.keys.commit([*changes, leaving], ())
        self.run_for(2.0)
        self.assertEqual([False], seen)
