"""Keep the items of one job in the order of a plan."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import triage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from yuccarill.core.jobs.board import ItemRun
    from yuccarill.core.jobs.board import JobState
    from yuccarill.core.jobs.job import GroupId
    from yuccarill.core.jobs.lengths import TextLengths

# Times by which expected lengths change before groups are weighed anew.
RESCALE_TIMES = 1.05

# An item's place in an order, the lowest first.
Key = tuple[float, int, 'ItemRun']


class JobPlan:
    """Keep the items of one job in their order."""

    def __init__(self, state: JobState, lengths: TextLengths) -> None:
        self.state = state
        self._lengths = lengths
        self._runs_by_group: dict[GroupId, list[ItemRun]] = {}
        for run in state.runs_by_id.values():
            self._runs_by_group.setdefault(run.item.group, []).append(run)
            if run.text.events:
                # What an earlier job left of it.
                state.begin(run)
        # The longest first. Those that have begun are skipped.
        self._fresh = sorted(
            state.runs_by_id.values(),
            key=lambda run: (-self._events(run), run.position),
        )
        self._source = iter(self._fresh)
        self._candidates: list[ItemRun] = []
        self._scale = self._current_scale()
        # Groups of which nothing had begun when it was last looked, those
        # that need the least first.
        self._fresh_needs = sorted(
            (self._need(group) for group in self._runs_by_group),
            key=_work,
        )
        self._begun_needs: list[triage.GroupNeed] = []
        self._rest: list[triage.GroupNeed] = []
        self.fitting_groups: set[GroupId] = set()
        self.is_modest = True

    def _current_scale(self) -> float:
        """Return the events that stand for the first item's hint now."""
        if not self.state.job.items:
            return 1.0
        item = self.state.job.items[0]
        return self._lengths.expected(self.state.job.model, item, 0)

    def _events(self, run: ItemRun) -> float:
        """Return how many events a text will still get."""
        events = run.text.events
        return self._lengths.expected(run.job.model, run.item, events)

    def _need(self, group: GroupId) -> triage.GroupNeed:
        left = [
            self._events(run)
            for run in self._runs_by_group[group]
            if run.state is not board_module.RunState.ENDED
        ]
        return triage.GroupNeed(
            group=group, work=sum(left), longest=max(left, default=0.0)
        )

    def update(self) -> None:
        """Look at what has begun, and at what that still needs."""
        begun = self.state.open_begun_groups()
        if any(need.group in begun for need in self._fresh_needs):
            self._fresh_needs = [
                need for need in self._fresh_needs if need.group not in begun
            ]
        self._rescale()
        self._begun_needs = sorted(
            (self._need(group) for group in begun), key=_work
        )

    def _rescale(self) -> None:
        """Follow what is learnt of lengths."""
        scale = self._current_scale()
        ratio = scale / max(1e-9, self._scale)
        if 1.0 / RESCALE_TIMES < ratio < RESCALE_TIMES:
            return
        self._scale = scale
        for need in self._fresh_needs:
            need.work *= ratio
            need.longest *= ratio

    def step(self) -> triage.StepNeed:
        """Return what the step still needs."""
        state = self.state
        # Begun groups go on; of the others those that need the least.
        groups = [*self._begun_needs, *self._fresh_needs]
        if state.has_held_groups:
            groups.sort(key=lambda need: state.is_held_group(need.group))
        return triage.StepNeed(
            job=state.job.id,
            trainer=f'{state.job.account}/{state.job.route}/{state.job.model}',
            step=state.job.step,
            due_at=state.due_at,
            groups=groups,
        )

    def divide(self, fitting: set[GroupId]) -> None:
        """Part the groups that fit from the others."""
        self.fitting_groups = fitting
        needs = [*self._begun_needs, *self._fresh_needs]
        self._rest = [need for need in needs if need.group not in fitting]
        self._source = (
            run for run in self._fresh if run.item.group in fitting
        )
        self._candidates = []

    def _fitting(self) -> Iterator[ItemRun]:
        """Go through the texts of groups that fit, the longest first.

        Each is looked for once a plan, when it is first needed.
        """
        index = 0
        while True:
            if index == len(self._candidates):
                run = next(self._source, None)
                if run is None:
                    return
                self._candidates.append(run)
            yield self._candidates[index]
            index += 1

    @property
    def put_off(self) -> int:
        """Count the groups that do not fit."""
        return len(self._rest)

    def first(self, pace: float) -> Iterator[Key]:
        """Order the texts of groups that fit by their time to spare."""
        begun = [
            run
            for run in _waiting(self.state.begun_runs)
            if run.text.events and run.item.group in self.fitting_groups
        ]
        return heapq.merge(
            sorted(self._urgent(begun, pace), key=place),
            self._urgent(_unbegun(self._fitting()), pace),
            key=place,
        )

    def _urgent(self, runs: Iterable[ItemRun], pace: float) -> Iterator[Key]:
        for run in runs:
            left = pace * self._events(run)
            yield self.state.due_at - left, run.position, run

    def last(self) -> Iterator[Key]:
        """Order the other texts by what their groups still need."""
        for need in sorted(self._rest, key=_work):
            for run in _waiting(self._runs_by_group[need.group]):
                yield need.work, run.position, run


def place(key: Key) -> tuple[float, int]:
    """Return what an item is ordered by."""
    return key[:2]


def _work(need: triage.GroupNeed) -> float:
    return need.work


def _unbegun(runs: Iterable[ItemRun]) -> Iterator[ItemRun]:
    return (run for run in _waiting(runs) if not run.text.events)


def _waiting(runs: Iterable[ItemRun]) -> Iterator[ItemRun]:
    waiting = board_module.RunState.WAITING
    return (run for run in runs if run.state is waiting)
