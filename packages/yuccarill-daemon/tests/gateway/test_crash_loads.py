"""Test loads with requests that crash targets beside ordinary requests.

A client repeats a crashing request with a new id each time, at any instance.
A target crashes 50 to 350 ms after the start, restarts 3 s later and is listed
0.5 s after that. A request has two attempts, a client retries once, and an
ordinary request takes 40 ms.
"""

from __future__ import annotations

from nose2.tools import params

from . import crash_world
from . import world

CULPRIT = b'crash 1'
SECOND = b'crash 2'
POPULAR = [b'popular']
RARE = [b'rare %d' % number for number in range(400)]
# Maximum runs of a crashing content after all instances know its third crash.
MAX_RUNS = 3
SECONDS = 30.0
# Seconds until the quarantine is effective and targets have restarted.
SETTLED_SECONDS = 15.0


class CulpritTest(world.WorldTest):
    """A client's request crashes each target that runs it."""

    # Instances, targets, ordinary requests per second, their bodies.
    @params(
        (3, 3, 20.0, RARE),
        (3, 3, 20.0, POPULAR),
        (8, 3, 6.0, RARE),
        (8, 6, 60.0, RARE + POPULAR * 100),
        (8, 16, 100.0, RARE),
    )
    def test_one_culprit(
        self,
        instances: int,
        targets: int,
        rate: float,
        others: list[bytes],
    ) -> None:
        for seed in range(5):
            found = crash_world.CrashWorld(instances, targets, seed)
            found.run(
                SECONDS,
                found.random_load(2.5, [CULPRIT]),
                found.random_load(rate, others),
            )
            self.assertEqual({CULPRIT}, found.quarantined())
            self.assertLessEqual(found.runs_too_late(CULPRIT), MAX_RUNS)
            self.assertEqual(
                1.0, found.served_fraction(others, SETTLED_SECONDS)
            )

    # Instances, targets, ordinary requests per second.
    @params((3, 3, 20.0), (8, 6, 60.0), (8, 16, 100.0))
    def test_a_culprit_behind_ports_that_stay_open(
        self, instances: int, targets: int, rate: float
    ) -> None:
        """Guard against undetected crashes of targets behind supervisors.

        No connection is refused; only a new entry at the address shows it.
        """
        for seed in range(3):
            found = crash_world.CrashWorld(
                instances, targets, seed, has_supervisors=True
            )
            found.run(
                40.0,
                found.random_load(2.5, [CULPRIT]),
                found.random_load(rate, RARE),
            )
            self.assertEqual({CULPRIT}, found.quarantined())
            # The third crash is known when the target is listed again.
            late = found.runs_too_late(CULPRIT, crash_world.RELISTED_SECONDS)
            self.assertLessEqual(late, MAX_RUNS)
            self.assertEqual(1.0, found.served_fraction(RARE, 25.0))

    def test_two_culprits(self) -> None:
        for seed in range(5):
            found = crash_world.CrashWorld(3, 6, seed)
            found.run(
                SECONDS,
                found.random_load(1.5, [CULPRIT]),
                found.random_load(1.5, [SECOND]),
                found.random_load(20.0, RARE),
            )
            self.assertEqual({CULPRIT, SECOND}, found.quarantined())
            for each in (CULPRIT, SECOND):
                self.assertLessEqual(found.runs_too_late(each), MAX_RUNS)
            self.assertEqual(1.0, found.served_fraction(RARE, 20.0))

    def test_a_rare_culprit(self) -> None:
        found = crash_world.CrashWorld(3, 3)
        found.run(
            60.0,
            found.periodic_load(
                6.0, lambda: found.random_load(1e9, [CULPRIT])()
            ),
            found.random_load(20.0, RARE),
        )
        self.assertEqual({CULPRIT}, found.quarantined())
        self.assertLessEqual(found.runs_too_late(CULPRIT), MAX_RUNS)

    def test_a_new_instance_learns_the_quarantine(self) -> None:
        """Guard against a new instance that forwards a quarantined request."""
        found = crash_world.CrashWorld(3, 3)
        loads = (
            found.random_load(2.5, [CULPRIT]),
            found.random_load(20.0, RARE),
        )
        found.run(SETTLED_SECONDS, *loads)
        for number in range(3):
            found.add_instance(f'late{number}')
            found.run(found.clock.seconds() + 4.0, *loads)
        self.assertLessEqual(found.runs_too_late(CULPRIT), MAX_RUNS)


class OtherCauseTest(world.WorldTest):
    """Targets crash for another reason than a request."""

    # Targets, seconds between crashes, bodies, least fraction served.
    @params(
        (3, 4.0, POPULAR, 1.0),
        (3, 4.0, RARE, 1.0),
        (6, 1.5, POPULAR, 1.0),
        (6, 1.5, RARE, 1.0),
        (16, 0.5, RARE + POPULAR * 100, 1.0),
    )
    def test_targets_crash_in_turn(
        self, targets: int, pause: float, bodies: list[bytes], least: float
    ) -> None:
        for seed in range(3):
            found = crash_world.CrashWorld(3, targets, seed)

            def end_one(simulation: crash_world.CrashWorld = found) -> None:
                simulation.end(
                    simulation.random.choice(simulation.live_targets())
                )

            found.run(
                SECONDS,
                found.periodic_load(pause, end_one),
                found.random_load(60.0, bodies),
            )
            self.assertEqual(set(), found.quarantined())
            self.assertGreaterEqual(found.served_fraction(bodies, 0.0), least)

    def test_all_targets_crash_at_once(self) -> None:
        found = crash_world.CrashWorld(3, 6)

        def end_all() -> None:
            for target in found.live_targets():
                found.end(target)

        found.run(
            40.0,
            found.periodic_load(8.0, end_all),
            found.random_load(60.0, POPULAR + RARE),
        )
        self.assertEqual(set(), found.quarantined())

    def test_connections_are_cut_before_planned_replacements(self) -> None:
        """Guard against blaming requests for a fault of the network."""
        found = crash_world.CrashWorld(3, 6, has_supervisors=True)

        def cut_all() -> None:
            for target in found.live_targets():
                found.break_connections(target)

        def end_one() -> None:
            found.end(found.random.choice(found.live_targets()))

        found.run(
            SECONDS,
            found.periodic_load(1.0, cut_all),
            found.periodic_load(4.0, end_one),
            found.random_load(60.0, RARE + POPULAR * 100),
        )
        self.assertEqual(set(), found.quarantined())

    @params((POPULAR,), (RARE,))
    def test_connections_are_cut(self, bodies: list[bytes]) -> None:
        """Guard against counting a broken connection as a crash."""
        found = crash_world.CrashWorld(3, 3)

        def cut_all() -> None:
            for target in found.live_targets():
                found.break_connections(target)

        found.run(
            SECONDS,
            found.periodic_load(0.3, cut_all),
            found.random_load(60.0, bodies),
        )
        self.assertEqual(set(), found.quarantined())
        for each in found.instances_by_name.values():
            self.assertTrue(each.guard.ledger.is_clear)
