"""Test that batch jobs run despite failing engines and instances."""

from __future__ import annotations

import itertools
import time
from unittest import mock

import msgspec
from nose2.tools import params
from twisted.internet import defer

from yuccarill.core.gateway import routes
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs.job import ResultState
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.daemon.gateway.jobs import runner as runner_module
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
        self.assertEqual({1}, set(self.runs_by_item().values()))

    def test_a_job_stored_before_the_start_is_run(self) -> None:
        self.submit()
        self.hold('a')
        self.run_for(2.0)
        self.assert_whole()

    def test_a_broken_run_is_continued(self) -> None:
        """Guard against lost or duplicate events when a run breaks off."""
        self.engine('e1').breaks_after = 3
        self.engine('e2').breaks_after = 3
        self.hold('a')
        self.submit(groups=1)
        self.run_for(8.0)
        self.assert_whole(2)
        self.assertEqual([0, 3, 6, 9], self.runs_of('j-0-0'))

    def test_an_item_that_crashes_engines_is_tried_rarely(self) -> None:
        """Guard against one item that crashes every engine in turn.

        After three crashes the item is tried alone, as seldom as an owed item
        may be, and fails once its job expires.
        """
        self.engines.crashing = {'j-0-0'}
        self.hold('a')
        self.submit(groups=5)
        self.run_for(25.0)
        self.assertEqual(9, len(self.results()))
        self.run_for(20.0)
        times = self.run_times_of('j-0-0')
        self.assertEqual(8, len(times))
        pauses = [b - a for a, b in itertools.pairwise(times)][2:]
        for pause, least in zip(pauses, (3.0, *[7.0] * 4), strict=True):
            self.assertLessEqual(least, pause)
            self.assertLessEqual(pause, least + 0.5)
        states = {each.id: each.state for each in self.results()}
        self.assertIs(ResultState.FAILED, states.pop('j-0-0'))
        self.assertEqual({ResultState.COMPLETED}, set(states.values()))

    def test_an_unexpected_error_does_not_end_an_item(self) -> None:
        """Guard against an item that stays at no engine after an error."""
        original, failures = self.engines.generate, [KeyError('x')] * 3

        async def generate(*args: object) -> object:
            if failures:
                raise failures.pop()
            return await original(*args)

        self.engines.generate = generate  # type: ignore[method-assign]
        self.hold('a')
        self.submit()
        self.run_for(6.0)
        self.assert_whole()

    def test_runs_leave_a_slow_engine(self) -> None:
        """Guard against groups that wait for the runs of a slow engine."""
        self.hold('a')
        self.submit()
        self.run_for(0.15)
        self.engine('e1').gap = 4 * runner_world.EVENT_SECONDS
        self.run_for(1.1)
        self.assert_whole()

    def test_runs_do_not_move_back_and_forth(self) -> None:
        """Guard against moving all runs of a slow engine for one free slot."""
        self.engine('e1').gap = 4 * runner_world.EVENT_SECONDS
        self.hold('a')
        self.submit(groups=10)
        self.run_for(6.0)
        self.assertEqual(20, len(self.results()))
        self.assertLess(len(self.engines.runs), 2 * 20)

    def test_runs_leave_a_silent_engine(self) -> None:
        self.engine('e1').is_silent = True
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
        self.assertEqual({3}, set(self.runs_by_item().values()))

    def test_an_impossible_item_is_not_retried(self) -> None:
        self.engine('e1').status = 422
        self.engine('e2').status = 422
        self.hold('a')
        self.submit(groups=1)
        self.run_for(3.0)
        self.assertEqual({1}, set(self.runs_by_item().values()))

    def test_no_item_runs_on_weights_that_are_too_old(self) -> None:
        self.hold('a')
        self.submit(min_version=2)
        self.run_for(2.0)
        self.assertEqual([], self.engines.runs)

    def test_an_ended_job_starts_no_more_runs(self) -> None:
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

    def test_texts_of_a_resubmitted_group_are_reused(self) -> None:
        """Guard against generating the texts of an ended job again.

        The trainer submits the same items in its next job.
        """
        self.engine('e1').gap = self.engine('e2').gap = 0.2
        runner = self.hold('a')
        job = self.submit()
        self.run_for(1.1)
        jobs = job_store.JobStore(self.store(), self.clock)
        self.finish(jobs.end(world.SERVICE, job.id))
        self.run_for(0.5)
        self.engines.runs.clear()
        runner.add_job(replace(job, JobId('k')))
        self.run_for(3.0)
        self.assertEqual({'j-0-0', 'j-0-1', 'j-1-0', 'j-1-1'}, set(ids(self)))
        self.assertTrue(all(first > 0 for _, first in self.engines.runs))

    def test_items_of_a_removed_route_fail(self) -> None:
        # An item must not reach a service after the removal of its route.
        self.engine('e1').gap = self.engine('e2').gap = 0.5
        runner = self.hold('a')
        self.submit(groups=8)
        self.run_for(0.3)
        before = len(self.engines.runs)
        runner._state.route_table = routes.RouteTable(
            2, [], [], routes.ClientLimits()
        )
        self.run_for(8.0)
        self.assertEqual(before, len(self.engines.runs))
        self.assertEqual(16, len(self.results()))

    def test_a_route_unknown_to_an_older_configuration_is_awaited(
        self,
    ) -> None:
        """Guard against items that fail since the holder's copy is old."""
        runner = self.hold('a')
        runner._state.route_table = routes.RouteTable(
            1, [], [], routes.ClientLimits()
        )
        self.submit(accepted_version=2)
        self.run_for(2.0)
        self.assertEqual([], self.results())
        self.assertEqual([], self.engines.runs)
        runner._state.route_table = routes.RouteTable(
            2, [world.batch_route()], [], routes.ClientLimits()
        )
        self.run_for(2.0)
        self.assert_whole()

    def test_ended_jobs_are_removed_after_their_retention(self) -> None:
        self.hold('a')
        job = self.submit()
        self.run_for(2.0)
        jobs = job_store.JobStore(self.store(), self.clock)
        self.finish(jobs.end(world.SERVICE, job.id))
        self.run_for(100.0, step=0.1)
        self.assertEqual(4, len(self.results()))
        self.run_for(70.0, step=0.1)
        self.assertFalse([k for k in self.keys.entries_by_key if 'j' in k])

    def test_items_of_an_expired_job_fail(self) -> None:
        self.hold('a')
        self.submit(min_version=9)
        self.run_for(41.0, step=0.05)
        states = [result.state for result in self.results()]
        self.assertEqual([ResultState.FAILED] * 4, states)


def ids(test: runner_world.RunnerTest) -> list[str]:
    return [name for name, _ in test.engines.runs]


def replace(job: Job, name: JobId) -> Job:
    return msgspec.structs.replace(job, id=name)


OTHER = ServiceName('other')


def route(service: ServiceName, **changes: object) -> routes.Route:
    """Return the batch route with another service."""
    return msgspec.structs.replace(
        world.batch_route(), shares=(routes.Share(service, 1.0),), **changes
    )


def split_route(*shares: tuple[ServiceName, float]) -> routes.Route:
    """Return the batch route with weighted shares."""
    return msgspec.structs.replace(
        world.batch_route(), shares=tuple(routes.Share(*s) for s in shares)
    )


class MovedRouteTest(runner_world.RunnerTest):
    """The operator changes routes after a job was accepted."""

    def setUp(self) -> None:
        super().setUp()
        self.add_other_engine('o1')

    def add_other_engine(self, name: str) -> ListedTarget:
        target = msgspec.structs.replace(world.engine(name), service=OTHER)
        self.engines.engines_by_id[target.id] = runner_world.Engine(target)
        return target

    def change_routes(
        self, runner: runner_module.Runner, *found: routes.Route
    ) -> None:
        version = runner._state.route_table.version + 1
        runner._state.route_table = routes.RouteTable(
            version, found, [], routes.ClientLimits()
        )

    def assert_whole(self, count: int) -> None:
        found = self.results()
        self.assertEqual(
            [runner_world.whole_text()] * count, [each.text for each in found]
        )

    def engines_since(self, first: int) -> set[str]:
        return {str(engine) for engine in self.engines.places[first:]}

    # The new routes, and the engines of the runs that start after the change.
    @params(
        ((route(OTHER),), {'o1'}),
        # A longer prefix sends the paths of some items to another service.
        (
            (route(world.SERVICE), route(OTHER, prefix='/train/9/', name='o')),
            {'e1', 'e2', 'o1'},
        ),
        # The share of the own service has no weight any more.
        ((split_route((world.SERVICE, 0.0), (OTHER, 1.0)),), {'o1'}),
        # The own service keeps a share.
        ((split_route((OTHER, 0.5), (world.SERVICE, 0.5)),), {'e1', 'e2'}),
    )
    def test_items_run_at_the_service_that_their_route_names(
        self, found: tuple[routes.Route, ...], engines: set[str]
    ) -> None:
        """Guard against items left behind when their route moves."""
        runner = self.hold('a')
        self.submit(groups=12)
        self.run_for(0.2)
        before = len(self.engines.places)
        self.assertEqual({'e1', 'e2'}, self.engines_since(0))
        self.change_routes(runner, *found)
        self.run_for(7.0)
        self.assertEqual(engines, self.engines_since(before))
        self.assert_whole(24)
        self.assertEqual({1}, set(self.runs_by_item().values()))

    def test_items_run_where_the_own_service_has_no_engine(self) -> None:
        """Guard against a queue that waits for engines of its service."""
        for name in ('e1', 'e2'):
            del self.engines.engines_by_id[TargetId(name)]
        runner = self.hold('a')
        runner._state.targets.remove(TargetId('e1'))
        self.submit()
        self.change_routes(runner, route(OTHER))
        self.run_for(4.0)
        self.assert_whole(4)

    def test_a_broken_run_continues_at_the_service_that_is_named(self) -> None:
        """Guard against a text that is lost when its route moves."""
        self.engine('e1').breaks_after = self.engine('e2').breaks_after = 3
        runner = self.hold('a')
        self.submit(groups=1)
        self.run_for(0.1)
        self.change_routes(runner, route(OTHER))
        self.run_for(4.0)
        self.assert_whole(2)
        self.assertEqual([0, 3], self.runs_of('j-0-0'))

    def test_a_route_can_move_back(self) -> None:
        """Guard against items that stay with another service for good."""
        runner = self.hold('a')
        self.submit(groups=20)
        self.run_for(0.1)
        self.change_routes(runner, route(OTHER))
        self.run_for(1.0)
        before = len(self.engines.places)
        self.change_routes(runner, route(world.SERVICE))
        self.run_for(7.0)
        self.assertEqual({'e1', 'e2'}, self.engines_since(before))
        self.assert_whole(40)

    def test_engines_of_the_other_service_are_updated(self) -> None:
        """Guard against items that wait for engines that are gone."""
        self.engine('o1').is_silent = True
        runner = self.hold('a')
        self.submit(groups=1)
        self.change_routes(runner, route(OTHER))
        self.run_for(0.2)
        runner._state.targets.remove(TargetId('o1'))
        runner._state.targets.put(self.add_other_engine('o2'))
        self.run_for(4.0)
        self.assert_whole(2)

    def test_a_new_holder_sends_items_to_the_service_that_is_named(
        self,
    ) -> None:
        """Guard against items that are lost with the holder of their job."""
        self.hold('a').stop()
        self.submit()
        runner = self.hold('b')
        self.change_routes(runner, route(OTHER))
        self.run_for(4.0)
        self.assert_whole(4)
        self.assertEqual({'o1'}, self.engines_since(0))


class ClockStepTest(runner_world.RunnerTest):
    def test_a_clock_that_is_ahead_expires_nothing(self) -> None:
        """Guard against items that fail since the holder's clock is ahead."""
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

    def test_a_clock_that_is_behind_delays_nothing(self) -> None:
        self.submit()
        behind = mock.patch.object(
            time, 'time', lambda: self.clock.seconds() - 3600.0
        )
        with behind:
            self.hold('a')
            self.run_for(2.0)
        self.assertEqual(4, len(self.results()))


class RetirementTest(runner_world.RunnerTest):
    """An operator requests the retirement of a storage instance."""

    def answer(self) -> bytes | None:
        entry = self.keys.entries_by_key.get(keys.retirement(InstanceId('s1')))
        return None if entry is None else entry.value

    def request_retirement(self) -> None:
        self.keys.put(keys.RETIRE_PREFIX + 's1', b'{}')

    def test_the_holder_confirms_the_retirement(self) -> None:
        self.hold('a')
        self.run_for(0.2)
        self.request_retirement()
        self.run_for(1.0)
        self.assertEqual(operators.retirement_done(), self.answer())

    def test_a_request_from_before_the_start_is_answered(self) -> None:
        self.request_retirement()
        self.hold('a')
        self.run_for(1.0)
        self.assertEqual(operators.retirement_done(), self.answer())

    def test_the_answer_is_written_once_the_store_is_back(self) -> None:
        """Guard against a retirement answer lost in an outage of the store."""
        self.hold('a')
        self.run_for(0.2)
        self.request_retirement()
        self.run_for(0.005)
        self.memory.rejects_calls = True
        self.run_for(3.0)
        self.memory.rejects_calls = False
        self.run_for(2.0)
        self.assertEqual(operators.retirement_done(), self.answer())


class HandoverTest(runner_world.RunnerTest):
    """The instance that runs a job stops or is partitioned from the store."""

    # Seconds until the first instance stops: before it reads the job, during
    # generation, and after some or all results are listed.
    moments = (0.0, 0.05, 0.2, 0.45, 0.6, 1.0, 2.0)

    def test_another_instance_finishes_the_job(self) -> None:
        """Guard against lost or duplicate results after a holder is killed."""
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

    def test_a_job_is_reloaded_after_a_position_conflict(self) -> None:
        """Guard against a job that never ends after a position conflict.

        The second holder takes the job for new, though it has results.
        """
        first = self.hold('a')
        job = self.submit(groups=12)
        while not self.results():
            self.run_for(0.05)
        before = self.results()
        self.assertLess(len(before), 24)
        first.stop()
        second = self.hold('b')
        second.add_job(job)
        self.run_for(6.0)
        found = self.results()
        self.assertEqual(24, len(found))
        self.assertEqual(before, found[: len(before)])

    def test_a_holder_that_was_replaced_lists_nothing(self) -> None:
        """Guard against duplicate results of a holder that lost its duty."""
        self.hold('a')
        self.submit()
        self.run_for(0.2)
        self.hold('b')
        self.run_for(4.0)
        self.assertEqual(4, len(self.results()))

    def test_results_wait_for_the_store(self) -> None:
        """Guard against readers that see results missing from the store."""
        runner = self.hold('a')
        self.submit()
        self.run_for(0.1)
        self.memory.rejects_calls = True
        self.run_for(3.0)
        self.assertEqual([], self.results())
        self.memory.rejects_calls = False
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
        """Guard against duplicate orders when each switch starts a survey."""
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

    def start_engines(self, started_at: int) -> None:
        for name in ('e1', 'e2'):
            engine = self.engine(name)
            engine.target = world.started(name, started_at)
            engine.version, engine.started_at, engine.orders = 1, started_at, 0

    def list_engines(self) -> None:
        for engine in self.engines.engines_by_id.values():
            self.known.targets.put(engine.target)

    def test_restarted_engines_are_ordered_again(self) -> None:
        """Guard against a restarted engine that keeps its old weights."""
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

    def test_no_order_for_an_outdated_entry(self) -> None:
        """Guard against orders based on the entry of a previous process."""
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
        """Guard against a result that omits a weight version of its text."""
        self.engine('e1').gap = self.engine('e2').gap = 0.1
        self.hold('a')
        self.submit(groups=1)
        self.run_for(0.5)
        self.engine('e1').version = self.engine('e2').version = 2
        self.run_for(2.0)
        versions = {result.versions for result in self.results()}
        self.assertEqual({(1, 2)}, versions)

    def test_a_job_runs_while_its_engines_change_weights(self) -> None:
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
        self.assertTrue(runner.has_job(job.id))

    def test_no_answer_from_memory_during_a_hanging_write(
        self,
    ) -> None:
        """Guard against answers that lack a chunk already in the store.

        The holder did not receive the store's reply to its write.
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

    def test_no_answer_from_memory_without_the_duty(
        self,
    ) -> None:
        # Another instance can have listed more, which the reader has seen.
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
