"""Test which texts a step is expected to end without."""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs.job import GroupId
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs import left_behind

from . import items

PACE = 0.04


def make_board(hints, wanted, name='j', min_version=1):
    """Return a board with a job of groups of one item, and its state."""
    job = items.make_job(name, groups=len(hints), size=1)
    job = msgspec.structs.replace(
        job,
        wanted_groups=wanted,
        items=tuple(
            msgspec.structs.replace(item, hinted_tokens=hint)
            for item, hint in zip(job.items, hints, strict=True)
        ),
    )
    board = board_module.JobBoard()
    state = items.make_state(job)
    board.add(state)
    return board, state


class LeftBehindTest(unittest.TestCase):
    @params(
        ('all are waited for', (200, 30), 2, ()),
        ('the longest is not', (30, 200, 40), 2, ('j-1',)),
        ('one that ends soon is no loss', (5, 8, 20), 2, ()),
        ('two are not', (30, 200, 150), 1, ('j-2', 'j-1')),
    )
    def test_left_behind(self, _, hints, wanted, expected):
        board, state = make_board(hints, wanted)
        found = left_behind.left_behind(board, state, PACE)
        groups = {run.item.group for run in found}
        self.assertEqual(set(expected), groups)

    def test_whole_groups_count(self):
        board, state = make_board((30, 200, 40), 2)
        state.end(ItemId('j-0-0'))
        found = left_behind.left_behind(board, state, PACE)
        self.assertEqual(['j-1'], [run.item.group for run in found])

    def test_groups_that_came_again_are_waited_for(self):
        # A trainer waits for them whatever the others do, so that the one
        # that is left behind is the longest of the others.
        board, state = make_board((200, 150, 40), 2)
        state.repeated = {GroupId('j-0')}
        found = left_behind.left_behind(board, state, PACE)
        self.assertEqual(['j-1'], [run.item.group for run in found])

    def test_groups_that_were_cut_off_are_known_when_they_come_again(self):
        board, state = make_board((30, 200, 40), 2)
        state.end(ItemId('j-0-0'))
        state.end(ItemId('j-2-0'))
        board.remove(state.job.id)
        later = items.make_state(
            msgspec.structs.replace(state.job, id='later')
        )
        board.add(later)
        self.assertEqual({'j-1'}, later.repeated)


class NextJobTest(unittest.TestCase):
    @params(
        ('one step at a time', 3, (3,), 4),
        ('the older of two', 3, (3, 4), 5),
        ('the newer of two, the next not asked for yet', 4, (3, 4), None),
        ('both of the first two', 1, (1, 1), 2),
    )
    def test_weights_it_will_be_asked_for_with(self, _, mine, open_, expected):
        jobs = [items.make_job(min_version=version) for version in open_]
        found = left_behind.next_job(items.make_job(min_version=mine), jobs)
        self.assertEqual(
            expected, None if found is None else found.min_version
        )
