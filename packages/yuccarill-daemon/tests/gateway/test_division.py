"""Test that a fleet decides once how a service is divided among holders."""

from __future__ import annotations

from yuccarill.core.gateway import partitions
from yuccarill.core.gateway import routes
from yuccarill.core.ids import ModelName
from yuccarill.daemon.gateway.duty import division
from yuccarill.platform import keys

from . import world

# Seconds between two looks at a peer's copy of the store.
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

    def decided(self) -> int | None:
        entry = self.keys.entries_by_key.get(KEY)
        return None if entry is None else partitions.decode(entry.value).parts

    def test_a_small_service_is_not_divided(self) -> None:
        self.start('a', 45)
        self.run_for(3.0)
        self.assertEqual(1, self.decided())

    def test_a_large_one_has_a_holder_for_some_engines_each(self) -> None:
        self.start('a', 1200)
        self.run_for(5.0)
        self.assertEqual(4, self.decided())

    def test_what_was_decided_stays(self) -> None:
        """Two divisions at a time would let two holders order one engine.

        1. Instances that know different engines decide at the same moment.
        2. The store takes the first word, and all go by it.
        """
        self.start('a', 45)
        self.start('b', 1200)
        self.start('c', 1200)
        self.run_for(0.5)
        self.assertIsNone(self.decided())
        self.run_for(5.0)
        first = self.decided()
        revision = self.keys.entries_by_key[KEY].revision
        self.start('b', 1200)
        self.run_for(5.0)
        self.assertEqual(first, self.decided())
        self.assertEqual(revision, self.keys.entries_by_key[KEY].revision)

    def test_engines_that_are_still_coming_are_waited_for(self) -> None:
        found = self.start('a', 10)
        self.run_for(0.8)
        for number in range(1200):
            found._state.targets.put(world.engine(f'late{number}'))
        found.decide(SERVICE)
        self.run_for(5.0)
        self.assertEqual(5, self.decided())

    def test_engines_that_are_heard_of_in_batches(self) -> None:
        """One holder got all 1,710 engines of a fleet that was just installed.

        1. Engines start together, and most instances hear of them from a
           peer, which they ask once in 1.5 s.
        2. Between two answers their number stands still.
        3. It is decided by all of them, not by those of the first answer.
        """
        found = self.start('a', 400)
        for batch in range(3):
            self.run_for(POLL_SECONDS)
            for number in range(400):
                name = f'batch {batch}, {number}'
                found._state.targets.put(world.engine(name))
            found.decide(SERVICE)
        self.run_for(5.0)
        self.assertEqual(6, self.decided())

    def test_nobody_decides_without_engines(self) -> None:
        state = self.state('a')
        state.targets.remove(world.engine('e1').id)
        found = division.Division(
            state, self.store(), lambda: found.decide(SERVICE), self.clock
        )
        found.decide(SERVICE)
        self.run_for(5.0)
        self.assertIsNone(self.decided())
