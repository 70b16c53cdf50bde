"""Test loads of requests that end targets, beside those that do not.

The pattern: a caller repeats a request that ends each target which begins to
run it, under a new id each time and at any instance, while others send theirs.
The figures are those of the users' platform: a target ends 50 to 350 ms after
it began, is back 3 s later and listed 0.5 s after that; a request may be sent
to two targets, a caller comes again once; ordinary work takes 40 ms.
"""

from __future__ import annotations

from nose2.tools import params

from . import crash_world
from . import world

CULPRIT = b'crash 1'
SECOND = b'crash 2'
POPULAR = [b'popular']
RARE = [b'rare %d' % number for number in range(400)]
# Runs of one content that may begin once all know of its third end.
MAX_RUNS = 3
SECONDS = 30.0
# Seconds until the quarantine stands and targets are back.
SETTLED = 15.0


class CulpritTest(world.WorldTest):
    """A caller's request ends whatever target runs it."""

    # Instances, targets, ordinary requests a second, what they are.
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
                found.often(2.5, [CULPRIT]),
                found.often(rate, others),
            )
            self.assertEqual({CULPRIT}, found.quarantined())
            self.assertLessEqual(found.runs_too_late(CULPRIT), MAX_RUNS)
            self.assertEqual(1.0, found.share_served(others, SETTLED))

    # Instances, targets, ordinary requests a second.
    @params((3, 3, 20.0), (8, 6, 60.0), (8, 16, 100.0))
    def test_a_culprit_behind_ports_that_stay_open(
        self, instances: int, targets: int, rate: float
    ) -> None:
        """A service was down for good behind supervisors that hold its ports.

        1. A request ends the target that runs it; its port stays open.
        2. Nobody refuses the next connection, so no end was counted: on our
           stand-ins such a request reached 30 targets.
        3. Another process is listed at the address 3.5 s later: that is the
           end of the one before, with what it was at work on.
        """
        for seed in range(3):
            found = crash_world.CrashWorld(
                instances, targets, seed, has_supervisors=True
            )
            found.run(
                40.0,
                found.often(2.5, [CULPRIT]),
                found.often(rate, RARE),
            )
            self.assertEqual({CULPRIT}, found.quarantined())
            # Its third end is known when its target is listed again.
            late = found.runs_too_late(CULPRIT, crash_world.LISTED_AGAIN)
            self.assertLessEqual(late, MAX_RUNS)
            self.assertEqual(1.0, found.share_served(RARE, 25.0))

    def test_two_culprits(self) -> None:
        for seed in range(5):
            found = crash_world.CrashWorld(3, 6, seed)
            found.run(
                SECONDS,
                found.often(1.5, [CULPRIT]),
                found.often(1.5, [SECOND]),
                found.often(20.0, RARE),
            )
            self.assertEqual({CULPRIT, SECOND}, found.quarantined())
            for each in (CULPRIT, SECOND):
                self.assertLessEqual(found.runs_too_late(each), MAX_RUNS)
            self.assertEqual(1.0, found.share_served(RARE, 20.0))

    def test_a_culprit_that_comes_seldom(self) -> None:
        found = crash_world.CrashWorld(3, 3)
        found.run(
            60.0,
            found.every(6.0, lambda: found.often(1e9, [CULPRIT])()),
            found.often(20.0, RARE),
        )
        self.assertEqual({CULPRIT}, found.quarantined())
        self.assertLessEqual(found.runs_too_late(CULPRIT), MAX_RUNS)

    def test_an_instance_that_starts_later_knows(self) -> None:
        """A restarted instance sent the request on once more, each time.

        1. The quarantine stands.
        2. An instance starts that knows nothing, and gets the request within
           its first seconds.
        3. It learns of it from a peer.
        """
        found = crash_world.CrashWorld(3, 3)
        loads = (found.often(2.5, [CULPRIT]), found.often(20.0, RARE))
        found.run(SETTLED, *loads)
        for number in range(3):
            found.add_instance(f'late{number}')
            found.run(found.clock.seconds() + 4.0, *loads)
        self.assertLessEqual(found.runs_too_late(CULPRIT), MAX_RUNS)


class OtherCauseTest(world.WorldTest):
    """Targets end of something else; no request is the cause."""

    # Targets, seconds between two ends, what is sent, least part served.
    @params(
        (3, 4.0, POPULAR, 1.0),
        (3, 4.0, RARE, 1.0),
        (6, 1.5, POPULAR, 1.0),
        (6, 1.5, RARE, 1.0),
        (16, 0.5, RARE + POPULAR * 100, 1.0),
    )
    def test_targets_end_in_turn(
        self, targets: int, pause: float, bodies: list[bytes], least: float
    ) -> None:
        for seed in range(3):
            found = crash_world.CrashWorld(3, targets, seed)

            def end_one(among: crash_world.CrashWorld = found) -> None:
                among.end(among.random.choice(among.living()))

            found.run(
                SECONDS,
                found.every(pause, end_one),
                found.often(60.0, bodies),
            )
            self.assertEqual(set(), found.quarantined())
            self.assertGreaterEqual(found.share_served(bodies, 0.0), least)

    def test_all_targets_end_at_once(self) -> None:
        found = crash_world.CrashWorld(3, 6)

        def end_all() -> None:
            for target in found.living():
                found.end(target)

        found.run(
            40.0, found.every(8.0, end_all), found.often(60.0, POPULAR + RARE)
        )
        self.assertEqual(set(), found.quarantined())

    def test_connections_are_cut_before_planned_ends(self) -> None:
        """A network cuts connections while targets are replaced in turn."""
        found = crash_world.CrashWorld(3, 6, has_supervisors=True)

        def cut_all() -> None:
            for target in found.living():
                found.cut(target)

        def end_one() -> None:
            found.end(found.random.choice(found.living()))

        found.run(
            SECONDS,
            found.every(1.0, cut_all),
            found.every(4.0, end_one),
            found.often(60.0, RARE + POPULAR * 100),
        )
        self.assertEqual(set(), found.quarantined())

    @params((POPULAR,), (RARE,))
    def test_connections_are_cut(self, bodies: list[bytes]) -> None:
        """A network cuts connections, and the targets live."""
        found = crash_world.CrashWorld(3, 3)

        def cut_all() -> None:
            for target in found.living():
                found.cut(target)

        found.run(
            SECONDS,
            found.every(0.3, cut_all),
            found.often(60.0, bodies),
        )
        self.assertEqual(set(), found.quarantined())
        for each in found.instances_by_name.values():
            self.assertTrue(each.guard.ledger.is_clear)
