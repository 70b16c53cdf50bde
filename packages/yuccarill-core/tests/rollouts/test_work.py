"""Test how a step collects its samples."""

from __future__ import annotations

import unittest

from yuccarill.core import errors
from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import sample
from yuccarill.core.rollouts import step
from yuccarill.core.rollouts import work as work_module


def _finished(
    work: work_module.StepWork, place: sample.Place, attempt: int
) -> sample.Finished:
    name = sample.sample_id(
        work.trainer, work.step, place, Incarnation('i'), attempt
    )
    encoded = f'"{name}"'.encode()
    return sample.Finished(name, WeightVersion(attempt), encoded)


class StepWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        groups = (step.Group('p', samples=1), step.Group('q', samples=2))
        self.work = work_module.StepWork(
            TrainerId('a/b'),
            step.StepRequest(StepNumber(1), WeightVersion(1), groups),
        )

    def test_place_is_filled_once(self) -> None:
        # Guards against counting a place twice after a hedged attempt or a
        # repeated scorer response.
        place, *others = self.work.places()
        self.assertTrue(self.work.add_sample(_finished(self.work, place, 1)))
        for _ in range(2):
            self.assertFalse(
                self.work.add_sample(_finished(self.work, place, 2))
            )
        self.assertFalse(self.work.is_whole)
        for other in others:
            self.work.add_sample(_finished(self.work, other, 3))
        self.assertTrue(self.work.is_whole)
        self.assertEqual([1, 3, 3], [f.oldest_version for f in self._all()])

    def test_late_samples_are_rejected(self) -> None:
        # Attempts may end after their step has failed or closed.
        self.work.error = errors.GroupFailed('a group failed')
        place = self.work.places()[0]
        self.assertFalse(self.work.add_sample(_finished(self.work, place, 1)))

    def test_only_stale_places_are_dropped(self) -> None:
        for attempt, place in enumerate(self.work.places()):
            self.work.add_sample(_finished(self.work, place, attempt))
        stale = self.work.drop_stale(WeightVersion(3), 1)
        self.assertEqual(self.work.places()[:2], stale)
        self.assertEqual(1, len(self.work.finished_by_place))

    def _all(self) -> list[sample.Finished]:
        return self.work.in_order()

    def test_spare_group_may_be_left_out(self) -> None:
        # One of two groups fails; the step delivers the other one alone.
        work = self._spare_work()
        self.assertTrue(work.abandon_group(GroupNumber(0)))
        for place in work.missing():
            work.add_sample(_finished(work, place, 1))
        self.assertTrue(work.is_whole)
        self.assertEqual(2, len(work.in_order()))
        self.assertFalse(work.abandon_group(GroupNumber(1)))

    def test_dropped_sample_makes_its_group_incomplete(self) -> None:
        work = self._spare_work()
        for place in work.places()[1:]:
            work.add_sample(_finished(work, place, 1))
        self.assertTrue(work.is_whole)
        work.drop_stale(WeightVersion(9), 1)
        self.assertFalse(work.is_whole)

    def _spare_work(self) -> work_module.StepWork:
        asked = self.work.request
        request = step.StepRequest(
            asked.step, asked.newest_version, asked.groups, spare_groups=3
        )
        return work_module.StepWork(TrainerId('t'), request, spare_groups=1)
