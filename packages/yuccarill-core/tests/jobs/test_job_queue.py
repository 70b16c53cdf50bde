"""Test the order of items, and the texts kept from ended jobs."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import ResultState
from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.core.jobs import text as text_module
from yuccarill.core.jobs.text import StreamEvent

from . import items


def add_events(run: queue_module.ItemRun, version: int, count: int) -> None:
    run.text.begin_run(WeightVersion(version))
    for number in range(run.text.events + 1, count + 1):
        run.text.add_event(StreamEvent(number=number, data=f'd{number}'))


def make_result(item: str) -> ItemResult:
    return ItemResult(
        id=ItemId(item),
        state=ResultState.COMPLETED,
        text='d1\nd2',
        versions=(WeightVersion(2),),
        score='signed',
    )


class OrderTest(unittest.TestCase):
    def test_jobs_with_the_earliest_deadline_go_first(self) -> None:
        queue = queue_module.JobQueue()
        queue.add(items.make_state(items.make_job('late'), 4.0))
        queue.add(items.make_state(items.make_job('early'), 0.0))
        ids = [run.job.id for run in queue.waiting()]
        self.assertEqual(['early'] * 4 + ['late'] * 4, ids)

    def test_started_groups_go_before_new_ones(self) -> None:
        # Only complete groups count, so the other item of the started group 1
        # goes before the items of group 0.
        queue = queue_module.JobQueue()
        state = items.make_state(items.make_job())
        queue.add(state)
        run = state.runs_by_id[ItemId('j-1-0')]
        run.state = queue_module.RunState.RUNNING
        state.begin(run)
        order = [run.item.id for run in queue.waiting()]
        self.assertEqual(['j-1-1', 'j-0-0', 'j-0-1'], order)

    def test_last_item_completes_its_group(self) -> None:
        state = items.make_state(items.make_job())
        self.assertFalse(state.end(ItemId('j-0-0')))
        self.assertTrue(state.end(ItemId('j-0-1')))
        self.assertFalse(state.end(ItemId('j-0-1')))
        self.assertFalse(state.is_finished)

    def test_published_items_are_not_run_again(self) -> None:
        queue = queue_module.JobQueue()
        state = items.make_state(items.make_job())
        queue.add(state, [make_result('j-0-0'), make_result('j-0-1')])
        order = [run.item.id for run in queue.waiting()]
        self.assertEqual(['j-1-0', 'j-1-1'], order)

    def test_items_past_retention_expire(self) -> None:
        queue = queue_module.JobQueue()
        queue.add(items.make_state(items.make_job()))
        self.assertEqual([], queue.expired(Instant(39.9)))
        self.assertEqual(4, len(queue.expired(Instant(40.0))))


class FailureTest(unittest.TestCase):
    def test_an_item_fails_after_its_last_attempt(self) -> None:
        state = items.make_state(items.make_job())
        run = state.runs_by_id[ItemId('j-0-0')]
        self.assertIsNone(run.fail())
        self.assertIsNone(run.fail())
        result = run.fail()
        assert result is not None
        self.assertIs(ResultState.FAILED, result.state)

    def test_the_scorers_route_limits_scoring_failures(
        self,
    ) -> None:
        """Guards against an item that fails by the job's limit of attempts.

        The job's route allows 3 attempts, the scorer's route 4.
        """
        state = items.make_state(items.make_job())
        run = state.runs_by_id[ItemId('j-0-0')]
        run.fail()
        self.assertFalse(run.fail_scores(3, max_attempts=4))
        self.assertTrue(run.fail_scores(1, max_attempts=4))


class ReuseTest(unittest.TestCase):
    """The next step repeats the groups that were incomplete."""

    def resubmit(
        self, min_version: int, **more: object
    ) -> tuple[queue_module.ItemRun, list[queue_module.ItemRun]]:
        queue = queue_module.JobQueue()
        state = items.make_state(items.make_job())
        queue.add(state)
        run = state.runs_by_id[ItemId('j-0-0')]
        add_events(run, version=2, count=3)
        run.text.is_whole = bool(more.pop('is_whole', False))
        run.score = 'signed'
        queue.remove(state.job.id)
        job = items.make_job('j', min_version=min_version, **more)
        again = items.make_state(job)
        whole = queue.add(again)
        return again.runs_by_id[ItemId('j-0-0')], whole

    def test_a_partial_text_is_resumed(self) -> None:
        run, whole = self.resubmit(2)
        self.assertEqual(3, run.text.events)
        self.assertEqual([], whole)

    def test_a_complete_text_needs_no_engine(self) -> None:
        run, whole = self.resubmit(2, is_whole=True)
        self.assertEqual([run], whole)
        self.assertEqual('signed', run.score)

    def test_a_text_of_stale_weights_is_restarted(self) -> None:
        run, _ = self.resubmit(3)
        self.assertEqual(0, run.text.events)

    def test_a_result_of_another_instance_is_reused(self) -> None:
        """Guards against generating an item twice after a failover.

        The previous holder has published one of the group's two items.
        """
        queue = queue_module.JobQueue()
        state = items.make_state(items.make_job(min_version=2))
        queue.add(state, [make_result('j-0-0')])
        queue.remove(state.job.id)
        again = items.make_state(items.make_job(min_version=2))
        whole = queue.add(again)
        self.assertEqual([again.runs_by_id[ItemId('j-0-0')]], whole)
        result = whole[0].completed_result(str(whole[0].score))
        self.assertEqual(make_result('j-0-0'), result)


class HandoverTest(unittest.TestCase):
    """Another instance resumes the texts of a job queue."""

    def setUp(self) -> None:
        self.before = queue_module.JobQueue()
        self.after = queue_module.JobQueue()
        self.state = items.make_state(items.make_job(min_version=2))
        self.before.add(self.state)

    def run_of(self, item: str) -> queue_module.ItemRun:
        return self.state.runs_by_id[ItemId(item)]

    def hand_over(self, **more: object) -> queue_module.JobState:
        self.after.keep_partial_texts(self.before.partial_texts(listed=()))
        state = items.make_state(items.make_job(min_version=2, **more))
        self.whole = self.after.add(state)
        return state

    def test_a_partial_text_resumes_after_its_last_event(self) -> None:
        add_events(self.run_of('j-0-0'), version=2, count=3)
        run = self.hand_over().runs_by_id[ItemId('j-0-0')]
        self.assertEqual(('d1', 'd2', 'd3'), run.text.parts)
        self.assertEqual((2,), run.text.versions)
        self.assertIs(queue_module.RunState.WAITING, run.state)

    def test_the_version_of_a_later_event_is_not_guessed(self) -> None:
        # The engine that resumes the text may have other weights.
        add_events(self.run_of('j-0-0'), version=2, count=3)
        run = self.hand_over().runs_by_id[ItemId('j-0-0')]
        with self.assertRaises(text_module.TextSequenceError):
            run.text.add_event(StreamEvent(number=4, data='d4'))

    def test_an_unpublished_result_is_reused(self) -> None:
        run = self.run_of('j-0-0')
        add_events(run, version=2, count=3)
        run.text.is_whole = True
        run.score = 'signed'
        self.state.end(run.item.id)
        self.hand_over()
        self.assertEqual(['j-0-0'], [run.item.id for run in self.whole])
        self.assertEqual('signed', self.whole[0].score)

    def test_published_texts_are_not_handed_over(self) -> None:
        # Results are in the store; traffic between data centres is expensive.
        add_events(self.run_of('j-0-0'), version=2, count=3)
        add_events(self.run_of('j-0-1'), version=2, count=3)
        found = self.before.partial_texts(listed={ItemId('j-0-0')})
        self.assertEqual(['j-0-1'], [text.item for text in found])

    def test_texts_of_open_jobs_come_first(self) -> None:
        # The end of the list is cut off at the size limit.
        add_events(self.run_of('j-0-0'), version=2, count=3)
        self.before.remove(self.state.job.id)
        state = items.make_state(items.make_job('k'))
        self.before.add(state)
        add_events(state.runs_by_id[ItemId('k-0-0')], version=1, count=1)
        found = self.before.partial_texts(listed=())
        self.assertEqual(['k-0-0', 'j-0-0'], [text.item for text in found])


class AwaitedTest(unittest.TestCase):
    """The step has 4 groups of 2 items and a deadline of 7.5 s."""

    @params(
        ('none is complete', 3, 0, 1.0, False),
        ('fewer than wanted', 3, 2, 1.0, False),
        ('as many as wanted', 3, 3, 1.0, True),
        ('more than wanted', 3, 4, 1.0, True),
        ('no number is given', 0, 1, 1.0, True),
        ('shortly before the deadline', 3, 1, 6.0, True),
        ('after the deadline', 3, 1, 9.0, True),
    )
    def test_when_a_complete_group_is_awaited(
        self, _: str, wanted: int, whole: int, now: float, expected: bool
    ) -> None:
        job = items.make_job(groups=4, wanted_groups=wanted)
        state = items.make_state(job)
        for item in job.items[: 2 * whole]:
            state.end(item.id)
        self.assertIs(expected, state.is_listing_urgent(Instant(now)))
