"""Test which item is run next, and what is kept of ended jobs."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import ResultState
from yuccarill.core.jobs import text as text_module
from yuccarill.core.jobs.text import StreamEvent

from . import items


def write(run: board_module.ItemRun, version: int, count: int) -> None:
    run.text.begin_run(WeightVersion(version))
    for number in range(run.text.events + 1, count + 1):
        run.text.take(StreamEvent(number=number, data=f'd{number}'))


def listed(item: str) -> ItemResult:
    return ItemResult(
        id=ItemId(item),
        state=ResultState.COMPLETED,
        text='d1\nd2',
        versions=(WeightVersion(2),),
        score='signed',
    )


class OrderTest(unittest.TestCase):
    def test_jobs_due_first_go_first(self) -> None:
        board = board_module.JobBoard()
        board.add(items.make_state(items.make_job('late'), 4.0))
        board.add(items.make_state(items.make_job('early'), 0.0))
        ids = [run.job.id for run in board.waiting()]
        self.assertEqual(['early'] * 4 + ['late'] * 4, ids)

    def test_begun_groups_go_before_new_ones(self) -> None:
        # A trainer counts whole groups. Item 1 of group 1 runs; its other
        # item comes before the two of group 0, which nobody has begun.
        board = board_module.JobBoard()
        state = items.make_state(items.make_job())
        board.add(state)
        run = state.runs_by_id[ItemId('j-1-0')]
        run.state = board_module.RunState.RUNNING
        state.begin(run)
        order = [run.item.id for run in board.waiting()]
        self.assertEqual(['j-1-1', 'j-0-0', 'j-0-1'], order)

    def test_last_item_makes_its_group_whole(self) -> None:
        state = items.make_state(items.make_job())
        self.assertFalse(state.end(ItemId('j-0-0')))
        self.assertTrue(state.end(ItemId('j-0-1')))
        self.assertFalse(state.end(ItemId('j-0-1')))
        self.assertFalse(state.is_finished)

    def test_listed_items_are_not_run_again(self) -> None:
        board = board_module.JobBoard()
        state = items.make_state(items.make_job())
        board.add(state, [listed('j-0-0'), listed('j-0-1')])
        order = [run.item.id for run in board.waiting()]
        self.assertEqual(['j-1-0', 'j-1-1'], order)

    def test_expired_items_are_given_up(self) -> None:
        board = board_module.JobBoard()
        board.add(items.make_state(items.make_job()))
        self.assertEqual([], board.expired(Instant(39.9)))
        self.assertEqual(4, len(board.expired(Instant(40.0))))


class FailureTest(unittest.TestCase):
    def test_an_item_ends_after_its_last_attempt(self) -> None:
        state = items.make_state(items.make_job())
        run = state.runs_by_id[ItemId('j-0-0')]
        self.assertIsNone(run.fail())
        self.assertIsNone(run.fail())
        result = run.fail()
        assert result is not None
        self.assertIs(ResultState.FAILED, result.state)

    def test_the_scorers_route_says_how_many_failures_are_enough(
        self,
    ) -> None:
        """An item was listed as failed while its score could still be had.

        1. The job's route allows 3 attempts, the scorer's route 4.
        2. The scorer answers three times that it failed.
        3. The trainer is told that the item failed, and trains without it.
        """
        state = items.make_state(items.make_job())
        run = state.runs_by_id[ItemId('j-0-0')]
        run.fail()
        self.assertFalse(run.fail_scores(3, max_attempts=4))
        self.assertTrue(run.fail_scores(1, max_attempts=4))


class ReuseTest(unittest.TestCase):
    """Groups that were not whole come again in the next step."""

    def carry(
        self, min_version: int, **more: object
    ) -> tuple[board_module.ItemRun, list[board_module.ItemRun]]:
        board = board_module.JobBoard()
        state = items.make_state(items.make_job())
        board.add(state)
        run = state.runs_by_id[ItemId('j-0-0')]
        write(run, version=2, count=3)
        run.text.is_whole = bool(more.pop('is_whole', False))
        run.score = 'signed'
        board.remove(state.job.id)
        job = items.make_job('j', min_version=min_version, **more)
        again = items.make_state(job)
        whole = board.add(again)
        return again.runs_by_id[ItemId('j-0-0')], whole

    def test_a_begun_text_goes_on(self) -> None:
        run, whole = self.carry(2)
        self.assertEqual(3, run.text.events)
        self.assertEqual([], whole)

    def test_a_whole_text_needs_no_engine(self) -> None:
        run, whole = self.carry(2, is_whole=True)
        self.assertEqual([run], whole)
        self.assertEqual('signed', run.score)

    def test_a_text_of_too_old_weights_is_made_anew(self) -> None:
        run, _ = self.carry(3)
        self.assertEqual(0, run.text.events)

    def test_what_another_instance_listed_is_not_made_again(self) -> None:
        """Items were generated twice after their holder was replaced.

        1. A holder lists one of a group's two items and is replaced.
        2. The trainer ends the step: the group was not whole.
        3. Its next step asks for both; the listed one is taken over.
        """
        board = board_module.JobBoard()
        state = items.make_state(items.make_job(min_version=2))
        board.add(state, [listed('j-0-0')])
        board.remove(state.job.id)
        again = items.make_state(items.make_job(min_version=2))
        whole = board.add(again)
        self.assertEqual([again.runs_by_id[ItemId('j-0-0')]], whole)
        result = whole[0].completed(str(whole[0].score))
        self.assertEqual(listed('j-0-0'), result)


class HandOnTest(unittest.TestCase):
    """A board's texts go on at the board of another instance."""

    def setUp(self) -> None:
        self.before = board_module.JobBoard()
        self.after = board_module.JobBoard()
        self.state = items.make_state(items.make_job(min_version=2))
        self.before.add(self.state)

    def run_of(self, item: str) -> board_module.ItemRun:
        return self.state.runs_by_id[ItemId(item)]

    def hand_on(self, **more: object) -> board_module.JobState:
        self.after.leave(self.before.left(listed=()))
        state = items.make_state(items.make_job(min_version=2, **more))
        self.whole = self.after.add(state)
        return state

    def test_a_begun_text_goes_on_after_its_last_event(self) -> None:
        write(self.run_of('j-0-0'), version=2, count=3)
        run = self.hand_on().runs_by_id[ItemId('j-0-0')]
        self.assertEqual(('d1', 'd2', 'd3'), run.text.parts)
        self.assertEqual((2,), run.text.versions)
        self.assertIs(board_module.RunState.WAITING, run.state)

    def test_the_version_of_a_later_event_is_not_guessed(self) -> None:
        # The engine that goes on may have other weights.
        write(self.run_of('j-0-0'), version=2, count=3)
        run = self.hand_on().runs_by_id[ItemId('j-0-0')]
        with self.assertRaises(text_module.TextBroken):
            run.text.take(StreamEvent(number=4, data='d4'))

    def test_a_result_that_was_not_listed_yet_is_not_made_again(self) -> None:
        run = self.run_of('j-0-0')
        write(run, version=2, count=3)
        run.text.is_whole = True
        run.score = 'signed'
        self.state.end(run.item.id)
        self.hand_on()
        self.assertEqual(['j-0-0'], [run.item.id for run in self.whole])
        self.assertEqual('signed', self.whole[0].score)

    def test_what_was_listed_is_not_handed_on(self) -> None:
        # It stands in the store, and each byte between data centres counts.
        write(self.run_of('j-0-0'), version=2, count=3)
        write(self.run_of('j-0-1'), version=2, count=3)
        found = self.before.left(listed={ItemId('j-0-0')})
        self.assertEqual(['j-0-1'], [text.item for text in found])

    def test_texts_of_open_jobs_come_first(self) -> None:
        # They are the ones that are cut off where the size is bounded.
        write(self.run_of('j-0-0'), version=2, count=3)
        self.before.remove(self.state.job.id)
        state = items.make_state(items.make_job('k'))
        self.before.add(state)
        write(state.runs_by_id[ItemId('k-0-0')], version=1, count=1)
        found = self.before.left(listed=())
        self.assertEqual(['k-0-0', 'j-0-0'], [text.item for text in found])


class AwaitedTest(unittest.TestCase):
    """A trainer trains on some of its groups, once they are whole.

    The step has 4 groups of 2 items and is due after 7.5 s.
    """

    @params(
        ('none is whole', 3, 0, 1.0, False),
        ('fewer than wanted', 3, 2, 1.0, False),
        ('as many as wanted', 3, 3, 1.0, True),
        ('more than wanted', 3, 4, 1.0, True),
        ('it does not say how many', 0, 1, 1.0, True),
        ('the step is about to be due', 3, 1, 6.0, True),
        ('the step is late', 3, 1, 9.0, True),
    )
    def test_when_a_whole_group_is_awaited(
        self, _: str, wanted: int, whole: int, now: float, expected: bool
    ) -> None:
        job = items.make_job(groups=4, wanted_groups=wanted)
        state = items.make_state(job)
        for item in job.items[: 2 * whole]:
            state.end(item.id)
        self.assertIs(expected, state.is_awaited(Instant(now)))
