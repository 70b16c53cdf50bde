"""Test loads of items that end engines, beside those that do not.

The pattern: a trainer's job holds items that each end the engine which begins
to run them, and its other jobs ask the same as the sound items beside them.
Engines have four places, end 80 ms after such a run began, and are back 3 s
later. A trainer's step has 7.5 s: an item that waits for more than 3 s beside
a free place is late. Each end costs all runs of an engine, so the guilty item
is to be held after six at most.
"""

from __future__ import annotations

import collections

from nose2.tools import params

from yuccarill.core.jobs.job import ResultState
from yuccarill.core.jobs import job_queue
from yuccarill.daemon.gateway.jobs import runner as runner_module

from . import runner_world
from . import world

MAX_ENDS = 6
MAX_DELAY = 3.0
STEP = 0.02
SECONDS = 36.0
# Seconds between two jobs.
PAUSE = 4.0
FIRST = 'a-0-0'
SECOND = 'a-1-1'
# Engines, groups of two items a job, jobs of sound items, guilty ones.
LOADS = (
    (1, 2, 2, {FIRST}),
    (2, 4, 2, {FIRST}),
    (3, 4, 5, {FIRST}),
    (3, 8, 5, {FIRST}),
    (8, 8, 5, {FIRST}),
    (16, 32, 5, {FIRST}),
    (3, 4, 5, {FIRST, SECOND}),
    (8, 8, 5, {FIRST, SECOND}),
)


class CrashingItemsTest(runner_world.RunnerTest):
    """Items of one job end their engines; others ask what those do not."""

    def setUp(self) -> None:
        super().setUp()
        # Steps that sound items spent beside a free place.
        self.steps_held: collections.Counter[str] = collections.Counter()

    @params(*LOADS)
    def test_the_guilty_are_held_and_no_others(
        self, engines: int, groups: int, jobs: int, guilty: set[str]
    ) -> None:
        """A sound item was held for an hour in all jobs.

        1. Items run beside one that ends each engine, again and again.
        2. Each looks like the cause until it runs without the others.
        """
        self.engines.crashing = guilty
        self.check(self.play(engines, groups, jobs, guilty), guilty)

    @params(*LOADS)
    def test_runs_that_were_given_up_count(
        self, engines: int, groups: int, jobs: int, guilty: set[str]
    ) -> None:
        """An item ended 27 engines and was not at any of these ends.

        1. An engine's answer can't be taken, and the run is given up.
        2. The engine goes on with it, and ends 80 ms later.
        3. Meanwhile the item went to all others; its neighbours were blamed.
        """
        self.engines.refused = guilty
        self.check(self.play(engines, groups, jobs, guilty), guilty)

    def play(
        self, engines: int, groups: int, jobs: int, guilty: set[str]
    ) -> runner_module.Runner:
        self.engines.engines_by_id.clear()
        for number in range(engines):
            target = world.engine(f'e{number + 1}')
            self.engines.engines_by_id[target.id] = runner_world.Engine(target)
        found = self.hold('n')
        self.submit('a', groups, others=guilty)
        names = [f'b{number}' for number in range(jobs)]
        began_at = self.clock.seconds()
        waiting = list(names)
        while self.clock.seconds() < began_at + SECONDS:
            sent = len(names) - len(waiting)
            if waiting and self.clock.seconds() >= began_at + PAUSE * sent:
                self.submit(waiting.pop(0), groups)
            self.run_for(STEP)
            self.count_held(found, guilty)
        for name in names:
            states = [each.state for each in self.results(name)]
            self.assertEqual([ResultState.COMPLETED] * 2 * groups, states)
        return found

    def count_held(
        self, found: runner_module.Runner, guilty: set[str]
    ) -> None:
        for state in found._queue.jobs_by_id.values():
            for run in state.waiting():
                if run.item.id not in guilty and self.has_place(found, run):
                    self.steps_held[run.item.id] += 1

    def has_place(
        self, found: runner_module.Runner, run: job_queue.ItemRun
    ) -> bool:
        now = self.clock.seconds()
        return any(
            found._fleet.can_run(engine, run.job, now)
            and now >= self.engines.engines_by_id[name].away_until
            for name, engine in found._fleet.engines_by_id.items()
        )

    def check(self, found: runner_module.Runner, guilty: set[str]) -> None:
        holds = found._runs._holds
        ledger = holds._guard.ledger
        held = {run.item.id for run in holds.quarantined_runs}
        self.assertEqual(guilty, held)
        self.assertEqual(len(guilty), len(ledger.quarantined()))
        ends = sum(e.ends for e in self.engines.engines_by_id.values())
        self.assertLessEqual(ends, MAX_ENDS * len(guilty))
        longest = max(self.steps_held.values(), default=0) * STEP
        self.assertLessEqual(longest, MAX_DELAY)
