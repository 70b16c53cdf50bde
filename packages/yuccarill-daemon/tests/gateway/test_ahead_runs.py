"""Test that texts are ready when their groups are asked for again."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import Job
from yuccarill.daemon.gateway.jobs import ahead_runs
from yuccarill.daemon.gateway.jobs import generation

from . import runner_world
from . import world

# Seconds an event: the ten events of a text take 4 s.
GAP = 0.4


class AheadRunsTest(runner_world.RunnerTest):
    """The longest text of a step is cut off as the step ends without it.

    The group comes again two steps later, when the weights of its text are
    too old. It began anew there, and that step took as long as its longest
    text again.
    """

    def setUp(self) -> None:
        super().setUp()
        for engine in self.engines.engines_by_id.values():
            engine.gap = GAP
        self.board = board_module.JobBoard()
        self.fleet = engines_module.EngineFleet()
        self.fleet.update(
            engine.target for engine in self.engines.engines_by_id.values()
        )
        self.ahead = ahead_runs.AheadRuns(
            self.board,
            self.fleet,
            generation.Generator(self.engines, self.clock),
            self.clock,
        )
        self.addCleanup(self.ahead.stop)
        # Texts of a hundred events are expected, 4 s of them.
        item = self.submit('before').items[0]
        self.board.lengths.learn(world.MODEL, item, 100)

    def take(self, name: str, min_version: int = 1, wanted: int = 1) -> Job:
        """Take a job of which one group is whole and one runs."""
        job = self.submit(name, groups=2, min_version=min_version)
        job = msgspec.structs.replace(job, wanted_groups=wanted)
        self.ahead.hand_over(job)
        now = self.now()
        state = board_module.JobState(job, now, now + 7.5, now + 40.0)
        self.board.add(state)
        for run in state.runs_by_id.values():
            run.state = board_module.RunState.RUNNING
            if run.item.group.endswith('-0'):
                state.end(run.item.id)
        return job

    def now(self) -> float:
        return self.clock.seconds()

    def serve(self, version: int) -> None:
        for engine in self.engines.engines_by_id.values():
            engine.version = version
        for state in self.fleet.engines_by_id.values():
            state.saw_version(world.MODEL, WeightVersion(version))

    def update_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.ahead.update()
            self.run_for(0.1)

    def again(self, job: Job, min_version: int) -> Job:
        """Return the job in which the cut group is asked for again."""
        self.board.remove(job.id)
        later = msgspec.structs.replace(
            job, id='later', min_version=WeightVersion(min_version)
        )
        self.ahead.hand_over(later)
        now = self.now()
        state = board_module.JobState(later, now, now + 7.5, now + 40.0)
        self.board.add(state)
        return later

    def events(self, job: Job, item: str) -> int:
        run = self.board.jobs_by_id[job.id].runs_by_id[ItemId(item)]
        return run.text.events

    def test_a_text_goes_on_when_its_group_is_asked_for_again(self) -> None:
        # 1. The step has its one group; the other's texts are cut off.
        # 2. They are begun anew on the weights of the step to come.
        # 3. The step ends and is asked for again: they go on there.
        job = self.take('j')
        self.serve(2)
        self.update_for(2.0)
        later = self.again(job, 2)
        for item in ('j-1-0', 'j-1-1'):
            self.assertGreaterEqual(self.events(later, item), 3)
            self.assertEqual([0], self.runs_of(item))

    def test_a_text_that_ends_ahead_is_whole(self) -> None:
        job = self.take('j')
        self.serve(2)
        self.update_for(5.0)
        later = self.again(job, 2)
        run = self.board.jobs_by_id[later.id].runs_by_id[ItemId('j-1-0')]
        self.assertTrue(run.text.is_whole)

    def test_nothing_is_begun_on_weights_that_will_be_too_old(self) -> None:
        self.take('j')
        self.update_for(1.0)
        self.assertEqual([], self.engines.runs)

    def test_nothing_is_begun_for_groups_that_are_waited_for(self) -> None:
        self.take('j', wanted=2)
        self.serve(2)
        self.update_for(1.0)
        self.assertEqual([], self.engines.runs)

    def test_nothing_is_begun_once_the_job_has_ended(self) -> None:
        # A run that begins later than that is one nobody asked for.
        job = self.take('j')
        self.board.remove(job.id)
        self.serve(2)
        self.update_for(1.0)
        self.assertEqual([], self.engines.runs)

    def test_a_run_that_nobody_asks_for_again_is_given_up(self) -> None:
        job = self.take('j')
        self.serve(2)
        for engine in self.engines.engines_by_id.values():
            engine.gap = 2.0
        self.update_for(0.5)
        self.board.remove(job.id)
        self.update_for(ahead_runs.KEPT_SECONDS + 0.5)
        running = sum(e.running for e in self.fleet.engines_by_id.values())
        self.assertEqual(0, running)

    def test_places_are_left_for_the_steps_to_come(self) -> None:
        self.take('j')
        self.serve(2)
        for engine in self.fleet.engines_by_id.values():
            engine.runs_by_model[world.MODEL] = 3
        self.update_for(1.0)
        self.assertEqual([], self.engines.runs)
