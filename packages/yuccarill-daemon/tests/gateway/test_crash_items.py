"""Test jobs with items that crash engines beside items that do not.

Engines have four slots, crash 80 ms after the start of a crashing item, and
restart 3 s later. A job has 7.5 s, so a sound item must not wait for more than
3 s beside a free slot. A crash ends all runs of an engine, so a crashing item
is held back after three crashes and then tried at the times that owed items
require: 3 s after the last crash, then every 7 s.
"""

from __future__ import annotations

import collections

from nose2.tools import params

from yuccarill.core.jobs.job import ResultState
from yuccarill.core.jobs import job_queue
from yuccarill.daemon.gateway.jobs import runner as runner_module

from . import runner_world
from . import world

MAX_DELAY = 3.0
STEP = 0.02
SECONDS = 36.0
MAX_CRASHES = 4 + int((SECONDS - 3.0) / 7.0)
# Seconds between the submissions of two jobs.
PAUSE = 4.0
FIRST = 'a-0-0'
SECOND = 'a-1-1'
# Engines, groups of two items per job, jobs of sound items, crashing items.
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
    """Items of one job crash their engines; the other jobs are sound."""

    def setUp(self) -> None:
        super().setUp()
        # Clock steps for which each sound item waited beside a free slot.
        self.waiting_steps_by_item: collections.Counter[str] = (
            collections.Counter()
        )

    @params(*LOADS)
    def test_only_crashing_items_are_held_back(
        self, engines: int, groups: int, jobs: int, crashing_items: set[str]
    ) -> None:
        """Guard against holding back items that ran beside a crashing one."""
        self.engines.crashing = crashing_items
        self.assert_held_back(
            self.run_jobs(engines, groups, jobs, crashing_items),
            crashing_items,
        )

    @params(*LOADS)
    def test_abandoned_runs_count_as_crashes(
        self, engines: int, groups: int, jobs: int, crashing_items: set[str]
    ) -> None:
        """Guard against blaming other items for an abandoned run.

        The engine's answer is invalid, and the engine crashes 80 ms later.
        """
        self.engines.refused = crashing_items
        self.assert_held_back(
            self.run_jobs(engines, groups, jobs, crashing_items),
            crashing_items,
        )

    def run_jobs(
        self, engines: int, groups: int, jobs: int, crashing_items: set[str]
    ) -> runner_module.Runner:
        self.engines.engines_by_id.clear()
        for number in range(engines):
            target = world.engine(f'e{number + 1}')
            self.engines.engines_by_id[target.id] = runner_world.Engine(target)
        found = self.hold('n')
        self.submit('a', groups, others=crashing_items)
        names = [f'b{number}' for number in range(jobs)]
        began_at = self.clock.seconds()
        waiting = list(names)
        while self.clock.seconds() < began_at + SECONDS:
            sent = len(names) - len(waiting)
            if waiting and self.clock.seconds() >= began_at + PAUSE * sent:
                self.submit(waiting.pop(0), groups)
            self.run_for(STEP)
            self.count_waiting(found, crashing_items)
        for name in names:
            states = [each.state for each in self.results(name)]
            self.assertEqual([ResultState.COMPLETED] * 2 * groups, states)
        return found

    def count_waiting(
        self, found: runner_module.Runner, crashing_items: set[str]
    ) -> None:
        for state in found._queue.jobs_by_id.values():
            for run in state.waiting():
                if run.item.id not in crashing_items and self.has_free_slot(
                    found, run
                ):
                    self.waiting_steps_by_item[run.item.id] += 1

    def has_free_slot(
        self, found: runner_module.Runner, run: job_queue.ItemRun
    ) -> bool:
        now = self.clock.seconds()
        return any(
            found._fleet.can_run(engine, run.job, now)
            and now >= self.engines.engines_by_id[name].down_until
            for name, engine in found._fleet.engines_by_id.items()
        )

    def assert_held_back(
        self, found: runner_module.Runner, crashing_items: set[str]
    ) -> None:
        holds = found._runs._holds
        ledger = holds._guard.ledger
        held = {run.item.id for run in holds.quarantined_runs}
        # In a trial, or waiting for the first usable engine after one.
        held |= {
            run.item.id
            for state in found._queue.jobs_by_id.values()
            for run in state.runs_by_id.values()
            if run.content in ledger.quarantined()
        }
        self.assertEqual(crashing_items, held)
        self.assertEqual(len(crashing_items), len(ledger.quarantined()))
        ends = sum(e.ends for e in self.engines.engines_by_id.values())
        self.assertLessEqual(ends, MAX_CRASHES * len(crashing_items))
        longest = max(self.waiting_steps_by_item.values(), default=0) * STEP
        self.assertLessEqual(longest, MAX_DELAY)


class BurstTest(runner_world.RunnerTest):
    """Engines crash for another reason while they run sound items."""

    def start(self, engines: int, groups: int) -> runner_module.Runner:
        self.engines.engines_by_id.clear()
        for number in range(engines):
            target = world.engine(f'e{number + 1}')
            self.engines.engines_by_id[target.id] = runner_world.Engine(target)
        found = self.hold('n')
        self.submit('a', groups)
        return found

    def crash_under(
        self,
        found: runner_module.Runner,
        items: tuple[str, ...],
        crashes: int = 3,
    ) -> None:
        """Crash engines until each of some items has run at some crashes."""
        mover = found._runs._own_engines.run_mover
        left = collections.Counter(dict.fromkeys(items, crashes))
        crashed: set[object] = set()
        for _ in range(1500):
            for run, active in mover.active_runs_by_item.items():
                if left[run.item.id] > 0 and active not in crashed:
                    name = active.engine.target.id
                    self.engines._end(self.engines.engines_by_id[name])
                    crashed.add(active)
                    left[run.item.id] -= 1
            self.run_for(STEP)
            if not +left:
                return
        self.fail(f'not placed: {left}')

    # Engines, groups of two items, items that run at three crashes each.
    @params(
        (6, 2, (FIRST,)),
        (3, 2, (FIRST,)),
        (1, 1, (FIRST,)),
        (6, 4, (FIRST, SECOND, 'a-2-0', 'a-3-1')),
    )
    def test_a_sound_item_is_placed_again_after_a_burst(
        self, engines: int, groups: int, items: tuple[str, ...]
    ) -> None:
        """Guard against items that are never placed again after crashes."""
        found = self.start(engines, groups)
        self.crash_under(found, items)
        self.run_for(12.0)
        states = [each.state for each in self.results('a')]
        self.assertEqual([ResultState.COMPLETED] * 2 * groups, states)

    def test_many_sound_items_are_placed_again(self) -> None:
        """Guard against items that wait long for one another's trials."""
        found = self.start(6, 6)
        items = tuple(f'a-{group}-{n}' for group in range(6) for n in range(2))
        self.crash_under(found, items)
        self.run_for(15.0)
        states = [each.state for each in self.results('a')]
        self.assertEqual([ResultState.COMPLETED] * 12, states)

    # Number of further crashes under the item, each in one of its trials.
    @params(1, 2, 3, 4)
    def test_an_item_never_lies_long_after_crashes_in_its_trials(
        self, crashes: int
    ) -> None:
        """Guard against a step that is lost while all engines are idle.

        An owed item may not be without a run for 5 s in the calm that begins
        3 s after a crash.
        """
        found = self.start(6, 1)
        self.crash_under(found, (FIRST,))
        for _ in range(crashes):
            self.crash_under(found, (FIRST,), 1)
            last_at = self.clock.seconds()
            runs = len(self.engines.runs)
            while len(self.engines.runs) == runs:
                self.run_for(STEP)
            self.assertLess(self.clock.seconds() - last_at, 8.0)
        self.run_for(2.0)
        states = [each.state for each in self.results('a')]
        self.assertEqual([ResultState.COMPLETED] * 2, states)

    def test_a_trial_that_an_engine_rejects_is_repeated(self) -> None:
        """Guard against a pause although the item was at no engine."""
        found = self.start(6, 1)
        self.crash_under(found, (FIRST,))
        for engine in self.engines.engines_by_id.values():
            engine.down_until = self.clock.seconds() + 3.5
        self.run_for(6.0)
        states = [each.state for each in self.results('a')]
        self.assertEqual([ResultState.COMPLETED] * 2, states)

    def test_sound_items_are_placed_beside_a_crashing_one(self) -> None:
        """Guard against sound items that wait for the trials of another.

        A trial of the crashing item can come before those of the sound ones.
        """
        self.engines.crashing = {FIRST}
        found = self.start(6, 3)
        self.crash_under(found, (SECOND, 'a-2-0'))
        self.run_for(25.0)
        self.assertEqual(5, len(self.results('a')))
        ends = sum(e.ends for e in self.engines.engines_by_id.values())
        self.assertLessEqual(ends, 2 * 3 + MAX_CRASHES)

    def test_a_trial_runs_at_the_engine_with_the_fewest_runs(self) -> None:
        """Guard against a trial that ends many other runs."""
        found = self.start(3, 1)
        self.crash_under(found, (FIRST,))
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.5
        self.submit('b', 4)
        self.run_for(2.0)
        before = len(self.engines.runs)
        while len(self.engines.runs) == before:
            self.run_for(STEP)
        self.assertEqual(FIRST, self.engines.runs[before][0])
        place = self.engines.places[before]
        now = self.clock.seconds()
        counts = {
            name: engine.running
            for name, engine in found._fleet.engines_by_id.items()
            if now >= engine.ejected_until
        }
        counts[place] -= 1
        self.assertEqual(min(counts.values()), counts[place])

    def test_a_new_holder_tries_an_item_again(self) -> None:
        """Guard against items that are lost with the holder that held them."""
        found = self.start(6, 2)
        self.crash_under(found, (FIRST,))
        self.run_for(1.0)
        ledger = found._runs._holds._guard.ledger
        reports = ledger.reports(self.clock.seconds())
        found.stop()
        successor = self.hold('m')
        guard = successor._runs._holds._guard
        guard.record_peer_crashes(reports)
        self.assertEqual(1, len(guard.ledger.quarantined()))
        self.run_for(10.0)
        self.assertEqual(4, len(self.results('a')))

    def test_an_expired_item_is_not_tried(self) -> None:
        """Guard against a second result of an item that was given up."""
        self.engines.crashing = {FIRST}
        self.start(6, 1)
        self.run_for(41.0)
        runs = len(self.runs_of(FIRST))
        self.run_for(60.0)
        self.assertEqual(runs, len(self.runs_of(FIRST)))
        self.assertEqual(2, len(self.results('a')))
