"""Test that the division of a service is decided only once."""

from __future__ import annotations

from yuccarill.core.gateway import partitions
from yuccarill.core.gateway import routes
from yuccarill.core.ids import ModelName
from yuccarill.daemon.gateway.duty import division
from yuccarill.platform import keys

from . import world

# Interval at which an instance polls a peer for its copy of the store.
POLL_SECONDS = 1.5
KEY = keys.partitions(world.SERVICE)
SERVICE = routes.Service(
    name=world.SERVICE,
    engine=routes.EngineTraits(
        slots=4, models=(ModelName('m0'), ModelName('m1'), ModelName('m2'))
    ),
)


class DivisionTest(world.WorldTest):
    def start(self, name: str, engines: int) -> division.Division:
        state = self.state(name)
        for each in 'abc':
            world.list_instance(state, each)
        for number in range(engines - 1):
            state.targets.put(world.engine(f'more{number}'))
        found = division.Division(
            state, self.store(), lambda: found.decide(SERVICE), self.clock
        )
        found.decide(SERVICE)
        return found

    def decided_parts(self) -> int | None:
        entry = self.keys.entries_by_key.get(KEY)
        return None if entry is None else partitions.decode(entry.value).parts

    def test_a_small_service_is_not_divided(self) -> None:
        self.start('a', 45)
        self.run_for(3.0)
        self.assertEqual(1, self.decided_parts())

    def test_a_large_service_is_divided(self) -> None:
        self.start('a', 1200)
        self.run_for(5.0)
        self.assertEqual(4, self.decided_parts())

    def test_a_division_is_immutable(self) -> None:
        """Two divisions would let two holders send orders to one engine.

        Instances that know different engines decide at the same time; the
        first write wins.
        """
        self.start('a', 45)
        self.start('b', 1200)
        self.start('c', 1200)
        self.run_for(0.5)
        self.assertIsNone(self.decided_parts())
        self.run_for(5.0)
        first = self.decided_parts()
        revision = self.keys.entries_by_key[KEY].revision
        self.start('b', 1200)
        self.run_for(5.0)
        self.assertEqual(first, self.decided_parts())
        self.assertEqual(revision, self.keys.entries_by_key[KEY].revision)

    def test_decision_waits_until_engines_stop_joining(self) -> None:
        found = self.start('a', 10)
        self.run_for(0.8)
        for number in range(1200):
            found._state.targets.put(world.engine(f'late{number}'))
        found.decide(SERVICE)
        self.run_for(5.0)
        self.assertEqual(5, self.decided_parts())

    def test_decision_waits_for_engines_found_in_batches(self) -> None:
        """A division by the first batch alone would have too few parts.

        The number of engines is constant between two polls of a peer.
        """
        found = self.start('a', 400)
        for batch in range(3):
            self.run_for(POLL_SECONDS)
            for number in range(400):
                name = f'batch {batch}, {number}'
                found._state.targets.put(world.engine(name))
            found.decide(SERVICE)
        self.run_for(5.0)
        self.assertEqual(6, self.decided_parts())

    def test_no_decision_without_engines(self) -> None:
        state = self.state('a')
        state.targets.remove(world.engine('e1').id)
        found = division.Division(
            state, self.store(), lambda: found.decide(SERVICE), self.clock
        )
        found.decide(SERVICE)
        self.run_for(5.0)
        self.assertIsNone(self.decided_parts())
