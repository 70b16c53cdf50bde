"""Test which engine gets an item, and when a run goes on elsewhere."""

from __future__ import annotations

import functools
import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import engines
from yuccarill.core.jobs import placing

from . import items

NOW = Instant(10.0)


def pace(
    fleet: engines.EngineFleet, until: float = 10.0, **gaps: float
) -> None:
    """Let engines make events at a steady pace for a second."""
    for name, gap in gaps.items():
        engine = fleet.engines_by_id[TargetId(name)]
        now = until - 1.0
        while now <= until:
            engine.saw_gap(gap, Instant(now))
            now += gap


class ChooseTest(unittest.TestCase):
    @params(
        ({'m': 1}, 1, 'a'),
        ({'m': 1}, 2, None),
        ({'m': 2}, 2, 'a'),
        ({'other': 5}, 1, None),
    )
    def test_weights_have_to_fit(
        self, versions: dict[str, int], wanted: int, expected: str | None
    ) -> None:
        fleet = items.make_fleet(items.make_target('a', **versions))
        found = fleet.choose(items.make_job(min_version=wanted), NOW)
        self.assertEqual(expected, found and found.target.id)

    def test_full_leaving_and_switching_engines_get_nothing(self) -> None:
        fleet = items.make_fleet(
            items.make_target('full', slots=1),
            items.make_target('leaving', is_leaving=True),
            items.make_target('switching'),
            items.make_target('failed'),
        )
        by_id = fleet.engines_by_id
        by_id[TargetId('full')].runs_by_model[items.MODEL] = 1
        by_id[TargetId('switching')].switching.add(items.MODEL)
        by_id[TargetId('failed')].fail(NOW)
        self.assertIsNone(fleet.choose(items.make_job(), NOW))
        later = Instant(NOW + engines.FIRST_EJECTION_SECONDS)
        found = fleet.choose(items.make_job(), later)
        assert found is not None
        self.assertEqual('failed', found.target.id)

    def test_least_loaded_engine_is_chosen(self) -> None:
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        fleet.engines_by_id[TargetId('a')].runs_by_model[items.MODEL] = 1
        found = fleet.choose(items.make_job(), NOW)
        assert found is not None
        self.assertEqual('b', found.target.id)

    def test_slow_engine_comes_after_a_loaded_one(self) -> None:
        fleet = items.make_fleet(
            items.make_target('slow'),
            items.make_target('loaded'),
            items.make_target('c', slots=1),
        )
        pace(fleet, slow=0.15, loaded=0.04, c=0.04)
        fleet.engines_by_id[TargetId('loaded')].runs_by_model[items.MODEL] = 3
        fleet.engines_by_id[TargetId('c')].runs_by_model[items.MODEL] = 1
        found = fleet.choose(items.make_job(), NOW)
        assert found is not None
        self.assertEqual('loaded', found.target.id)

    def test_newest_known_version_counts(self) -> None:
        fleet = items.make_fleet(items.make_target('a', m=1))
        engine = fleet.engines_by_id[TargetId('a')]
        engine.saw_version(items.MODEL, WeightVersion(3))
        engine.saw_version(items.MODEL, WeightVersion(2))
        fleet.update([items.make_target('a', m=2)])
        self.assertEqual(3, engine.version(items.MODEL))


class PaceTest(unittest.TestCase):
    def test_one_pause_of_all_runs_is_not_slowness(self) -> None:
        """A pause shared by twelve runs moved 45 of them elsewhere.

        1. An engine makes events of twelve runs, 40 ms apart.
        2. It pauses once for 0.13 s; each run sees the same gap.
        3. It goes on as before, so no run has anything to gain.
        """
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        pace(fleet, a=0.04, b=0.04)
        engine = fleet.engines_by_id[TargetId('a')]
        for _ in range(12):
            engine.saw_gap(0.13, Instant(10.13))
        self.assertFalse(fleet.is_slow(engine, Instant(10.13)))

    def test_a_slow_engine_is_known_within_half_a_second(self) -> None:
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        pace(fleet, a=0.04, b=0.04)
        engine = fleet.engines_by_id[TargetId('a')]
        for step in range(1, 5):
            engine.saw_gap(0.12, Instant(10.0 + step * 0.12))
        self.assertTrue(fleet.is_slow(engine, Instant(10.48)))

    def test_an_old_pace_is_forgotten(self) -> None:
        # Nothing runs on an engine that was slow; unless it is tried again
        # it would stay idle for good.
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        pace(fleet, a=0.2, b=0.04)
        engine = fleet.engines_by_id[TargetId('a')]
        self.assertTrue(fleet.is_slow(engine, NOW))
        later = Instant(NOW + engines.PACE_SECONDS + 0.1)
        self.assertFalse(fleet.is_slow(engine, later))


class MoveTest(unittest.TestCase):
    # Seconds at the engine, silent for, pace of the engine: held up.
    @params(
        (5.0, 0.1, 0.04, False),
        (5.0, 0.3, 0.04, False),
        (5.0, 0.5, 0.04, True),
        (5.0, 0.1, 0.15, True),
        (0.1, 0.1, 0.15, False),
        (0.1, 0.5, 0.15, True),
    )
    def test_held_up(
        self, stayed: float, silent: float, gap: float, expected: bool
    ) -> None:
        fleet = items.make_fleet(
            items.make_target('a'),
            items.make_target('b'),
            items.make_target('c'),
        )
        pace(fleet, a=gap, b=0.04, c=0.04)
        found = fleet.is_held_up(
            fleet.engines_by_id[TargetId('a')],
            items.make_job(),
            Instant(NOW - stayed),
            Instant(NOW - silent),
            NOW,
        )
        self.assertEqual(expected, found)

    def test_runs_leave_an_engine_before_it_switches(self) -> None:
        fleet = items.make_fleet(items.make_target('a'))
        engine = fleet.engines_by_id[TargetId('a')]
        engine.emptying.add(items.MODEL)
        job = items.make_job()
        self.assertTrue(fleet.is_held_up(engine, job, NOW, NOW, NOW))

    def test_places_at_slow_and_full_engines_do_not_count(self) -> None:
        fleet = items.make_fleet(
            items.make_target('from'),
            items.make_target('slow'),
            items.make_target('full', slots=1),
            items.make_target('good', slots=3),
        )
        pace(fleet, slow=0.15, full=0.04, good=0.04)
        by_id = fleet.engines_by_id
        by_id[TargetId('full')].runs_by_model[items.MODEL] = 1
        by_id[TargetId('good')].runs_by_model[items.MODEL] = 1
        found = placing.Placing(fleet, NOW).free_places(
            items.make_job(), by_id[TargetId('from')]
        )
        self.assertEqual(2, found)


class StartedAgainTest(unittest.TestCase):
    """An engine's process ends, and starts again under the same id.

    1. The engine was seen with new weights, was slow, failed, and runs texts.
    2. Its process ends; another one starts with the weights of long ago.
    3. The list shows the new start.
    """

    def setUp(self) -> None:
        self.fleet = items.make_fleet(items.started('a', 1, m=2))
        self.old = self.fleet.engines_by_id[TargetId('a')]
        self.old.saw_version(items.MODEL, WeightVersion(5))
        self.old.runs_by_model[items.MODEL] = 4
        self.old.switching.add(items.MODEL)
        for _ in range(3):
            self.old.fail(NOW)
        pace(self.fleet, a=0.4)

    def start_again(self) -> engines.EngineState:
        self.fleet.update([items.started('a', 2, m=1)])
        return self.fleet.engines_by_id[TargetId('a')]

    def test_what_was_known_of_the_process_before_is_forgotten(self) -> None:
        found = self.start_again()
        self.assertEqual(1, found.version(items.MODEL))
        self.assertEqual((0, set()), (found.running, found.switching))
        self.assertIsNone(found.known_pace(NOW))
        self.assertEqual((0, 0.0), (found.failures, found.ejected_until))

    def test_it_gets_items_that_its_weights_fit(self) -> None:
        found = self.start_again()
        job = items.make_job(min_version=1)
        self.assertIs(found, self.fleet.choose(job, NOW))
        newer = items.make_job(min_version=2)
        self.assertIsNone(self.fleet.choose(newer, NOW))

    def test_runs_of_the_process_before_go_on_elsewhere(self) -> None:
        held_up = functools.partial(
            self.fleet.is_held_up, self.old, items.make_job(), NOW, NOW, NOW
        )
        self.assertFalse(held_up())
        self.start_again()
        self.assertTrue(held_up())

    def test_the_same_process_keeps_what_is_known_of_it(self) -> None:
        self.fleet.update([items.started('a', 1, m=2)])
        self.assertTrue(self.fleet.is_current(self.old))
        self.assertEqual(5, self.old.version(items.MODEL))
