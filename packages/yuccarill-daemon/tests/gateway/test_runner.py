"""Test how batch jobs are run while engines and instances fail."""

from __future__ import annotations

import time
from unittest import mock

import msgspec
from twisted.internet import defer

from yuccarill.core.gateway import routes
from yuccarill.core.ids import InstanceId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs.job import ResultState
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.platform import keys
from yuccarill.platform import operators
from yuccarill.platform import ports

from . import runner_world
from . import world


class RunTest(runner_world.RunnerTest):
    def assert_whole(self, count: int = 4) -> None:
        found = self.results()
        self.assertEqual(count, len(found))
        for result in found:
            self.assertIs(ResultState.COMPLETED, result.state)
            self.assertEqual(runner_world.whole_text(), result.text)
            self.assertEqual(f'score of {result.id}', result.score)

    def test_each_item_is_generated_scored_and_listed(self) -> None:
        self.hold('a')
        self.submit()
        self.run_for(2.0)
        self.assert_whole()
        self.assertEqual({1}, set(self.busiest().values()))

    def test_a_job_that_stood_before_is_run(self) -> None:
        self.submit()
        self.hold('a')
        self.run_for(2.0)
        self.assert_whole()

    def test_a_run_that_breaks_off_goes_on(self) -> None:
        """No event may be missing from a sample or stand in it twice.

        1. An engine breaks off each run after three events.
        2. The item goes on after the last whole event, at any engine.
        """
        self.engine('e1').breaks_after = 3
        self.engine('e2').breaks_after = 3
        self.hold('a')
        self.submit(groups=1)
        self.run_for(8.0)
        self.assert_whole(2)
        self.assertEqual([0, 3, 6, 9], self.runs_of('j-0-0'))

    def test_an_item_that_ends_engines_is_held_back(self) -> None:
        """Each engine in turn ended under one item, with all its other runs.

        1. An item ends the engine that begins to run it, which is back 3 s
           later.
        2. After three ends it is held back, and the others are whole.
        3. It is given up when its job's time is over, and not before.
        """
        self.engines.crashing = {'j-0-0'}
        self.hold('a')
        self.submit(groups=5)
        self.run_for(25.0)
        self.assertEqual(3, len(self.runs_of('j-0-0')))
        self.assertEqual(9, len(self.results()))
        self.run_for(20.0)
        self.assertEqual(3, len(self.runs_of('j-0-0')))
        states = {each.id: each.state for each in self.results()}
        self.assertIs(ResultState.FAILED, states.pop('j-0-0'))
        self.assertEqual({ResultState.COMPLETED}, set(states.values()))

    def test_runs_leave_a_slow_engine(self) -> None:
        """One slow engine of two held each group's last item up.

        1. An engine becomes four times as slow in the middle of its runs.
        2. Its runs go on at the other one, from where they are.
        """
        self.hold('a')
        self.submit()
        self.run_for(0.15)
        self.engine('e1').gap = 4 * runner_world.GAP
        self.run_for(1.1)
        self.assert_whole()

    def test_runs_are_not_moved_to_and_fro(self) -> None:
        """Runs were moved 85 times in a second, and each began anew.

        1. One of two engines is slow, and all places of the other are used.
        2. Whenever one comes free, an item that waits gets it, or one run
           of the slow engine, and the others stay.
        """
        self.engine('e1').gap = 4 * runner_world.GAP
        self.hold('a')
        self.submit(groups=10)
        self.run_for(6.0)
        self.assertEqual(20, len(self.results()))
        self.assertLess(len(self.engines.runs), 2 * 20)

    def test_runs_leave_a_dark_engine(self) -> None:
        self.engine('e1').is_dark = True
        self.hold('a')
        self.submit()
        self.run_for(2.0)
        self.assert_whole()

    def test_an_item_fails_after_its_last_attempt(self) -> None:
        self.engine('e1').status = 500
        self.engine('e2').status = 500
        self.hold('a')
        self.submit(groups=1)
        self.run_for(3.0)
        found = self.results()
        self.assertEqual(
            [ResultState.FAILED] * 2, [result.state for result in found]
        )
        self.assertEqual({3}, set(self.busiest().values()))

    def test_an_impossible_item_is_not_tried_again(self) -> None:
        self.engine('e1').status = 422
        self.engine('e2').status = 422
        self.hold('a')
        self.submit(groups=1)
        self.run_for(3.0)
        self.assertEqual({1}, set(self.busiest().values()))

    def test_nothing_runs_on_weights_that_are_too_old(self) -> None:
        self.hold('a')
        self.submit(min_version=2)
        self.run_for(2.0)
        self.assertEqual([], self.engines.runs)

    def test_an_ended_job_runs_no_further(self) -> None:
        self.hold('a')
        self.submit()
        self.run_for(0.1)
        jobs = job_store.JobStore(self.store(), self.clock)
        self.finish(jobs.end(world.SERVICE, JobId('j')))
        self.run_for(0.5)
        before = len(self.engines.runs)
        self.run_for(3.0)
        self.assertEqual(before, len(self.engines.runs))
        self.assertEqual([], self.results())

    def test_a_group_that_comes_again_is_not_made_again(self) -> None:
        """Half of each step was made a second time.

        1. A trainer ends a step before its last group is whole.
        2. It asks for the same items in its next step.
        3. What their texts are is taken over, with the versions.
        """
        self.engine('e1').gap = self.engine('e2').gap = 0.2
        runner = self.hold('a')
        job = self.submit()
        self.run_for(1.1)
        jobs = job_store.JobStore(self.store(), self.clock)
        self.finish(jobs.end(world.SERVICE, job.id))
        self.run_for(0.5)
        self.engines.runs.clear()
        runner.offer(replace(job, JobId('k')))
        self.run_for(3.0)
        self.assertEqual({'j-0-0', 'j-0-1', 'j-1-0', 'j-1-1'}, set(ids(self)))
        self.assertTrue(all(first > 0 for _, first in self.engines.runs))

    def test_items_of_a_route_that_is_gone_are_given_up(self) -> None:
        # An item must not reach a service after its route was taken away.
        self.engine('e1').gap = self.engine('e2').gap = 0.5
        runner = self.hold('a')
        self.submit(groups=8)
        self.run_for(0.3)
        before = len(self.engines.runs)
        runner._state.table = routes.RouteTable(
            2, [], [], routes.ClientLimits()
        )
        self.run_for(8.0)
        self.assertEqual(before, len(self.engines.runs))
        self.assertEqual(16, len(self.results()))

    def test_ended_jobs_are_removed_when_nobody_may_read_them(self) -> None:
        self.hold('a')
        job = self.submit()
        self.run_for(2.0)
        jobs = job_store.JobStore(self.store(), self.clock)
        self.finish(jobs.end(world.SERVICE, job.id))
        self.run_for(100.0, step=0.1)
        self.assertEqual(4, len(self.results()))
        self.run_for(70.0, step=0.1)
        self.assertFalse([k for k in self.keys.entries_by_key if 'j' in k])

    def test_items_are_given_up_when_their_time_is_over(self) -> None:
        self.hold('a')
        self.submit(min_version=9)
        self.run_for(41.0, step=0.05)
        states = [result.state for result in self.results()]
        self.assertEqual([ResultState.FAILED] * 4, states)


def ids(test: runner_world.RunnerTest) -> list[str]:
    return [name for name, _ in test.engines.runs]


def replace(job: Job, name: JobId) -> Job:
    return msgspec.structs.replace(job, id=name)


class ClockStepTest(runner_world.RunnerTest):
    def test_a_step_of_the_clock_gives_nothing_up(self) -> None:
        """Items failed that their trainer still waited for.

        1. A job is accepted at an instance whose clock is right.
        2. The holder's clock is an hour ahead when it takes the job.
        3. By it the job's time is over; the engines are slow, not gone.
        """
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.5
        self.submit()
        ahead = mock.patch.object(
            time, 'time', lambda: self.clock.seconds() + 3600.0
        )
        with ahead:
            self.hold('a')
            self.run_for(7.0)
        states = [result.state for result in self.results()]
        self.assertEqual([ResultState.COMPLETED] * 4, states)

    def test_a_clock_that_is_behind_holds_nothing_back(self) -> None:
        self.submit()
        behind = mock.patch.object(
            time, 'time', lambda: self.clock.seconds() - 3600.0
        )
        with behind:
            self.hold('a')
            self.run_for(2.0)
        self.assertEqual(4, len(self.results()))


class RetirementTest(runner_world.RunnerTest):
    """Operators ask for a disk instance to be emptied."""

    def answer(self) -> bytes | None:
        entry = self.keys.entries_by_key.get(keys.retirement(InstanceId('s1')))
        return None if entry is None else entry.value

    def ask(self) -> None:
        self.keys.put(keys.RETIRE_PREFIX + 's1', b'{}')

    def test_the_holder_says_that_nothing_is_kept_there(self) -> None:
        self.hold('a')
        self.run_for(0.2)
        self.ask()
        self.run_for(1.0)
        self.assertEqual(operators.retirement_done(), self.answer())

    def test_a_request_from_before_the_holder_is_answered(self) -> None:
        self.ask()
        self.hold('a')
        self.run_for(1.0)
        self.assertEqual(operators.retirement_done(), self.answer())

    def test_the_answer_is_written_once_the_store_is_back(self) -> None:
        """An operator waited for ever to take the machine away.

        1. The store turns the answer away.
        2. It is back seconds later; the request is not written again.
        """
        self.hold('a')
        self.run_for(0.2)
        self.ask()
        self.run_for(0.005)
        self.memory.refuses = True
        self.run_for(3.0)
        self.memory.refuses = False
        self.run_for(2.0)
        self.assertEqual(operators.retirement_done(), self.answer())


class HandoverTest(runner_world.RunnerTest):
    """The instance that runs a job dies, or is cut off from the store."""

    # After these many seconds the first instance's process is gone: before
    # it reads the job, in the middle of the texts, when some results are
    # listed, and when all are.
    moments = (0.0, 0.05, 0.2, 0.45, 0.6, 1.0, 2.0)

    def test_another_instance_finishes_the_job(self) -> None:
        """An accepted job must be whole, and each sample listed once.

        1. The holder is killed at some moment of the job.
        2. Another instance takes the duty and reads what stands.
        3. It runs what is not listed, and lists it behind the rest.
        """
        for number, moment in enumerate(self.moments):
            with self.subTest(moment):
                name = f'j{number}'
                first = self.hold('a')
                self.submit(name)
                self.run_for(moment)
                before = self.results(name)
                first.stop()
                second = self.hold('b')
                self.run_for(3.0)
                found = self.results(name)
                self.assertEqual(4, len(found))
                self.assertEqual(before, found[: len(before)])
                second.stop()

    def test_positions_that_were_taken_are_read_again(self) -> None:
        """A job never ended: its next position was taken each time.

        1. A job is taken for new although results of it are listed.
        2. The first of its own results meets a position that is taken.
        3. What stands is read again, and the rest goes behind it.
        """
        first = self.hold('a')
        job = self.submit(groups=12)
        while not self.results():
            self.run_for(0.05)
        before = self.results()
        self.assertLess(len(before), 24)
        first.stop()
        second = self.hold('b')
        second.offer(job)
        self.run_for(6.0)
        found = self.results()
        self.assertEqual(24, len(found))
        self.assertEqual(before, found[: len(before)])

    def test_a_holder_that_was_replaced_lists_nothing(self) -> None:
        """A sample would stand at two positions, with two texts.

        1. The holder loses the duty without knowing.
        2. Both instances run the job's items and list their results.
        3. The store takes only those written under the newest hold.
        """
        self.hold('a')
        self.submit()
        self.run_for(0.2)
        self.hold('b')
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))

    def test_results_wait_for_the_store(self) -> None:
        """What a trainer has read must stand in the store.

        1. The store goes away before any result is listed.
        2. The texts are made meanwhile; readers see nothing.
        3. All is listed soon after its return.
        """
        runner = self.hold('a')
        self.submit()
        self.run_for(0.1)
        self.memory.refuses = True
        self.run_for(3.0)
        self.assertEqual([], self.results())
        self.memory.refuses = False
        self.run_for(1.0)
        self.assertEqual(4, len(self.results()))
        runner.stop()


class WeightsTest(runner_world.RunnerTest):
    def name_version(self, version: int) -> None:
        value = b'{"model": "%s", "version": %d}' % (
            world.MODEL.encode(),
            version,
        )
        self.keys.put(keys.VERSION_PREFIX + world.MODEL, value)

    def test_engines_change_to_the_named_version(self) -> None:
        self.hold('a')
        self.name_version(2)
        self.run_for(6.0)
        self.assertEqual(2, self.engine('e1').version)
        self.assertEqual(2, self.engine('e2').version)
        self.assertEqual(1, self.engine('e1').orders)

    def test_each_engine_is_ordered_once(self) -> None:
        """Eight idle engines got 36 orders within 20 ms, each paid for.

        1. A holder may order from now on, and all engines are behind.
        2. Each switch that begins asks for a look at the others at once.
        3. What that look begins is not begun again by the first one.
        """
        for name in ('e3', 'e4', 'e5', 'e6', 'e7', 'e8'):
            target = world.engine(name)
            self.engines.engines_by_id[target.id] = runner_world.Engine(target)
        self.name_version(2)
        self.hold('a')
        self.run_for(12.0)
        received = [
            engine.orders_received
            for engine in self.engines.engines_by_id.values()
        ]
        self.assertEqual([1] * len(received), received)

    def start_engines(self, born: int) -> None:
        for name in ('e1', 'e2'):
            engine = self.engine(name)
            engine.target = world.started(name, born)
            engine.version, engine.born, engine.orders = 1, born, 0

    def list_engines(self) -> None:
        for engine in self.engines.engines_by_id.values():
            self.known.targets.put(engine.target)

    def test_engines_that_start_again_are_ordered_anew(self) -> None:
        """Engines with old weights were taken for those that had new ones.

        1. Two engines have changed to the named version.
        2. Their processes start again under their ids, with the first one.
        3. Their entries show the start.
        """
        self.start_engines(1)
        self.hold('a')
        self.name_version(2)
        self.run_for(6.0)
        self.assertEqual(2, self.engine('e1').version)
        self.start_engines(2)
        self.list_engines()
        self.run_for(6.0)
        self.assertEqual(
            [2, 2], [self.engine(e).version for e in ('e1', 'e2')]
        )

    def test_no_order_by_the_entry_of_the_process_before(self) -> None:
        """An engine was ordered by what the process before had said.

        1. Engines start again; their entries are still the old ones.
        2. A version is named. Reports tell of another start.
        3. The entries show the start; the orders follow.
        """
        self.start_engines(1)
        self.hold('a')
        self.run_for(0.5)
        self.start_engines(2)
        self.name_version(2)
        self.run_for(4.0)
        self.assertEqual(0, self.engine('e1').orders_received)
        self.list_engines()
        self.run_for(6.0)
        self.assertEqual(2, self.engine('e1').version)

    def test_results_name_the_versions_that_made_them(self) -> None:
        """A sample that names the wrong weights spoils its training step.

        1. The weights change in the middle of a text.
        2. The result names both versions.
        """
        self.engine('e1').gap = self.engine('e2').gap = 0.1
        self.hold('a')
        self.submit(groups=1)
        self.run_for(0.5)
        self.engine('e1').version = self.engine('e2').version = 2
        self.run_for(2.0)
        versions = {result.versions for result in self.results()}
        self.assertEqual({(1, 2)}, versions)

    def test_a_step_runs_while_its_engines_change(self) -> None:
        self.hold('a')
        self.submit()
        self.run_for(0.05)
        self.name_version(2)
        self.run_for(1.6)
        self.assertEqual(4, len(self.results()))

    def test_no_order_without_the_duty(self) -> None:
        runner = self.hold('a')
        runner._duty.revision = None
        self.name_version(2)
        self.run_for(4.0)
        self.assertEqual(0, self.engine('e1').orders)

    def test_readers_are_answered_from_memory(self) -> None:
        runner = self.hold('a')
        job = self.submit()
        self.run_for(2.0)
        body = runner.job_cache.read_item(job.id, job.items[0].id)
        self.assertEqual(b'prompt', body)
        self.assertTrue(runner.knows(job.id))

    def test_a_reader_is_not_answered_beside_a_write_that_hangs(
        self,
    ) -> None:
        """A reader got 41 results after another one had read 69.

        1. The holder writes a chunk; the store has it, and a reader gets
           it from there, but the holder does not hear of it.
        2. A second later another reader asks the holder.
        3. Its memory lacks the chunk: the store has to be asked.
        """
        runner = self.hold('a')
        job = self.submit()
        self.run_for(0.3)
        self.memory.loses_replies = True
        self.run_for(0.9)
        self.assertEqual(4, len(self.results()))
        query = ports.ResultsQuery(job=job.id, first=0, wait=0.0)
        reading = defer.Deferred.fromCoroutine(
            runner.job_cache.read_results(query)
        )
        self.assertIsNone(reading.result)

    def test_a_reader_of_a_holder_without_the_duty_asks_the_store(
        self,
    ) -> None:
        # Another instance may have listed more, which the reader has seen.
        runner = self.hold('a')
        job = self.submit()
        self.run_for(2.0)
        query = ports.ResultsQuery(job=job.id, first=0, wait=0.0)
        reading = defer.Deferred.fromCoroutine(
            runner.job_cache.read_results(query)
        )
        self.assertIsNotNone(reading.result)
        runner._duty.revision = None
        reading = defer.Deferred.fromCoroutine(
            runner.job_cache.read_results(query)
        )
        self.assertIsNone(reading.result)
