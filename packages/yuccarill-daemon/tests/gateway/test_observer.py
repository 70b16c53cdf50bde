"""Test what one process makes of the keys in the store."""

from __future__ import annotations

import msgspec
from nose2.tools import params
from twisted.internet import defer

from yuccarill.core.gateway.targets import TargetList
from yuccarill.core.ids import TargetId
from yuccarill.daemon.gateway.store import observer
from yuccarill.platform import keys

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
        self.known = self.state('a')
        self.known.targets = TargetList()
        self.observer = observer.Observer(self.known, self.store, self.clock)
        self.ended: list[object] = []
        self.observer.on_restart = self.ended.append
        for following in self.observer.following():
            running = defer.Deferred.fromCoroutine(following)
            running.addErrback(lambda failure: failure.trap(Exception))
            self.addCleanup(running.cancel)

    def write(self, name: str, value: bytes) -> None:
        self.keys.put(f'{keys.TARGET_PREFIX}{name}', value)
        self.run_for(2.0)

    def ready(self) -> list[str]:
        return sorted(self.known.targets.ready(world.SERVICE))

    @params(
        b'\xff',
        b'{}',
        msgspec.json.encode({**ENTRY, 'state': 'unknown'}),
        msgspec.json.encode({**ENTRY, 'slots': 'four'}),
    )
    def test_another_writer_takes_away_one_target_only(
        self, value: bytes
    ) -> None:
        """Requests went to an address that no target had written.

        1. Two targets are listed.
        2. Something else writes under the key of one of them.
        3. The other one goes on; the first is back with its next heartbeat.
        """
        self.write('t0', msgspec.json.encode(ENTRY))
        self.write('t1', msgspec.json.encode(ENTRY))
        self.write('t0', value)
        self.assertEqual(['t1'], self.ready())
        self.write('t0', msgspec.json.encode(ENTRY))
        self.assertEqual(['t0', 't1'], self.ready())

    def test_a_start_under_the_same_id_is_told(self) -> None:
        self.write('t0', msgspec.json.encode(ENTRY))
        known = self.known.targets.targets_by_id[TargetId('t0')]
        self.write('t0', msgspec.json.encode({**ENTRY, 'seq': 9}))
        self.assertEqual([], self.ended)
        self.write('t0', msgspec.json.encode({**ENTRY, 'born': 2, 'seq': 1}))
        self.assertEqual([known.id], [target.id for target in self.ended])
        found = self.known.targets.targets_by_id[TargetId('t0')]
        self.assertEqual(2, found.start.started_at)
