"""Test which engine gets an item, and when a run moves."""

from __future__ import annotations

import functools
import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import engine_assignment
from yuccarill.core.jobs import engines

from . import items

NOW = Instant(10.0)


def record_pace(
    fleet: engines.EngineFleet, until: float = 10.0, **gaps: float
) -> None:
    """Record a steady pace of engines for a second."""
    for name, gap in gaps.items():
        engine = fleet.engines_by_id[TargetId(name)]
        now = until - 1.0
        while now <= until:
            engine.record_gap(gap, Instant(now))
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

    def test_unusable_engines_get_nothing(self) -> None:
        fleet = items.make_fleet(
            items.make_target('full', slots=1),
            items.make_target('leaving', is_leaving=True),
            items.make_target('switching'),
            items.make_target('failed'),
        )
        by_id = fleet.engines_by_id
        by_id[TargetId('full')].runs_by_model[items.MODEL] = 1
        by_id[TargetId('switching')].switching_models.add(items.MODEL)
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
        record_pace(fleet, slow=0.15, loaded=0.04, c=0.04)
        fleet.engines_by_id[TargetId('loaded')].runs_by_model[items.MODEL] = 3
        fleet.engines_by_id[TargetId('c')].runs_by_model[items.MODEL] = 1
        found = fleet.choose(items.make_job(), NOW)
        assert found is not None
        self.assertEqual('loaded', found.target.id)

    def test_newest_known_version_counts(self) -> None:
        fleet = items.make_fleet(items.make_target('a', m=1))
        engine = fleet.engines_by_id[TargetId('a')]
        engine.record_version(items.MODEL, WeightVersion(3))
        engine.record_version(items.MODEL, WeightVersion(2))
        fleet.update([items.make_target('a', m=2)])
        self.assertEqual(3, engine.version(items.MODEL))


class PaceTest(unittest.TestCase):
    def test_one_shared_pause_is_not_slowness(self) -> None:
        """Guards against moves after one pause that all runs share."""
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        record_pace(fleet, a=0.04, b=0.04)
        engine = fleet.engines_by_id[TargetId('a')]
        for _ in range(12):
            engine.record_gap(0.13, Instant(10.13))
        self.assertFalse(fleet.is_slow(engine, Instant(10.13)))

    def test_a_slow_engine_is_detected_within_half_a_second(self) -> None:
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        record_pace(fleet, a=0.04, b=0.04)
        engine = fleet.engines_by_id[TargetId('a')]
        for step in range(1, 5):
            engine.record_gap(0.12, Instant(10.0 + step * 0.12))
        self.assertTrue(fleet.is_slow(engine, Instant(10.48)))

    def test_an_old_pace_expires(self) -> None:
        # Without another try, an engine that was slow once would stay idle.
        fleet = items.make_fleet(
            items.make_target('a'), items.make_target('b')
        )
        record_pace(fleet, a=0.2, b=0.04)
        engine = fleet.engines_by_id[TargetId('a')]
        self.assertTrue(fleet.is_slow(engine, NOW))
        later = Instant(NOW + engines.PACE_SECONDS + 0.1)
        self.assertFalse(fleet.is_slow(engine, later))


class MoveTest(unittest.TestCase):
    # Seconds on the engine, seconds of silence, pace, and the result.
    @params(
        (5.0, 0.1, 0.04, False),
        (5.0, 0.3, 0.04, False),
        (5.0, 0.5, 0.04, True),
        (5.0, 0.1, 0.15, True),
        (0.1, 0.1, 0.15, False),
        (0.1, 0.5, 0.15, True),
    )
    def test_when_a_run_is_held_up(
        self, stayed: float, silent: float, gap: float, expected: bool
    ) -> None:
        fleet = items.make_fleet(
            items.make_target('a'),
            items.make_target('b'),
            items.make_target('c'),
        )
        record_pace(fleet, a=gap, b=0.04, c=0.04)
        found = fleet.should_move(
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
        engine.draining_models.add(items.MODEL)
        job = items.make_job()
        self.assertTrue(fleet.should_move(engine, job, NOW, NOW, NOW))

    def test_slots_of_slow_and_full_engines_do_not_count(self) -> None:
        fleet = items.make_fleet(
            items.make_target('from'),
            items.make_target('slow'),
            items.make_target('full', slots=1),
            items.make_target('good', slots=3),
        )
        record_pace(fleet, slow=0.15, full=0.04, good=0.04)
        by_id = fleet.engines_by_id
        by_id[TargetId('full')].runs_by_model[items.MODEL] = 1
        by_id[TargetId('good')].runs_by_model[items.MODEL] = 1
        found = engine_assignment.EngineAssigner(fleet, NOW).free_slots(
            items.make_job(), by_id[TargetId('from')]
        )
        self.assertEqual(2, found)


class RestartTest(unittest.TestCase):
    """An engine restarts under the same id, with older weights."""

    def setUp(self) -> None:
        self.fleet = items.make_fleet(items.make_started('a', 1, m=2))
        self.old = self.fleet.engines_by_id[TargetId('a')]
        self.old.record_version(items.MODEL, WeightVersion(5))
        self.old.runs_by_model[items.MODEL] = 4
        self.old.switching_models.add(items.MODEL)
        for _ in range(3):
            self.old.fail(NOW)
        record_pace(self.fleet, a=0.4)

    def restart(self) -> engines.EngineState:
        self.fleet.update([items.make_started('a', 2, m=1)])
        return self.fleet.engines_by_id[TargetId('a')]

    def test_the_state_of_the_old_process_is_dropped(self) -> None:
        found = self.restart()
        self.assertEqual(1, found.version(items.MODEL))
        self.assertEqual((0, set()), (found.running, found.switching_models))
        self.assertIsNone(found.known_pace(NOW))
        self.assertEqual((0, 0.0), (found.failures, found.ejected_until))

    def test_the_new_process_gets_items_that_fit_its_weights(self) -> None:
        found = self.restart()
        job = items.make_job(min_version=1)
        self.assertIs(found, self.fleet.choose(job, NOW))
        newer = items.make_job(min_version=2)
        self.assertIsNone(self.fleet.choose(newer, NOW))

    def test_runs_of_the_old_process_move(self) -> None:
        held_up = functools.partial(
            self.fleet.should_move, self.old, items.make_job(), NOW, NOW, NOW
        )
        self.assertFalse(held_up())
        self.restart()
        self.assertTrue(held_up())

    def test_the_same_process_keeps_its_state(self) -> None:
        self.fleet.update([items.make_started('a', 1, m=2)])
        self.assertTrue(self.fleet.is_current(self.old))
        self.assertEqual(5, self.old.version(items.MODEL))
