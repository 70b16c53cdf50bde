"""Order the items of one job by a plan of its groups."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from yuccarill.core.jobs import job_queue as queue_module
from yuccarill.core.jobs import triage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from yuccarill.core.jobs.job import GroupId
    from yuccarill.core.jobs.job_queue import ItemRun
    from yuccarill.core.jobs.job_queue import JobState
    from yuccarill.core.jobs.lengths import TextLengths

# Ratio of expected lengths from which the needs of groups are rescaled.
RESCALE_RATIO = 1.05

# Two sort keys of an item, the lowest first, and its run.
Ranked = tuple[float, int, 'ItemRun']


class JobPlan:
    """Order the waiting items of one job."""

    def __init__(self, state: JobState, lengths: TextLengths) -> None:
        self.state = state
        self._lengths = lengths
        self._runs_by_group: dict[GroupId, list[ItemRun]] = {}
        for run in state.runs_by_id.values():
            self._runs_by_group.setdefault(run.item.group, []).append(run)
            if run.text.events:
                # Resumed from the partial text of an earlier job.
                state.begin(run)
        # The longest first; runs that have events are skipped on use.
        self._ordered_runs = sorted(
            state.runs_by_id.values(),
            key=lambda run: (-self._events(run), run.position),
        )
        self._unscanned_runs = iter(self._ordered_runs)
        self._candidates: list[ItemRun] = []
        self._length_scale = self._reference_length()
        # Groups that had not started at the last update, the smallest first.
        self._unstarted_needs = sorted(
            (self._group_need(group) for group in self._runs_by_group),
            key=_need_work,
        )
        self._started_needs: list[triage.GroupNeed] = []
        self._deferred_needs: list[triage.GroupNeed] = []
        self.fitting_groups: set[GroupId] = set()
        self.is_below_share = True

    def _reference_length(self) -> float:
        """Return the reference length: the expected events of one item."""
        if not self.state.job.items:
            return 1.0
        item = self.state.job.items[0]
        return self._lengths.expected(self.state.job.model, item, 0)

    def _events(self, run: ItemRun) -> float:
        """Return the expected number of events still to come."""
        events = run.text.events
        return self._lengths.expected(run.job.model, run.item, events)

    def _group_need(self, group: GroupId) -> triage.GroupNeed:
        lengths = [
            self._events(run)
            for run in self._runs_by_group[group]
            if run.state is not queue_module.RunState.ENDED
        ]
        return triage.GroupNeed(
            group=group, work=sum(lengths), longest=max(lengths, default=0.0)
        )

    def update(self) -> None:
        """Update which groups have started and what they need."""
        started = self.state.unfinished_started_groups()
        if any(need.group in started for need in self._unstarted_needs):
            self._unstarted_needs = [
                need
                for need in self._unstarted_needs
                if need.group not in started
            ]
        self._rescale()
        self._started_needs = sorted(
            (self._group_need(group) for group in started), key=_need_work
        )

    def _rescale(self) -> None:
        """Rescale the needs of unstarted groups to the learned lengths."""
        scale = self._reference_length()
        ratio = scale / max(1e-9, self._length_scale)
        if 1.0 / RESCALE_RATIO < ratio < RESCALE_RATIO:
            return
        self._length_scale = scale
        for need in self._unstarted_needs:
            need.work *= ratio
            need.longest *= ratio

    def step_need(self) -> triage.StepNeed:
        """Return the remaining need of the step."""
        state = self.state
        # Started groups first, then the smallest of the others.
        groups = [*self._started_needs, *self._unstarted_needs]
        if state.has_held_groups:
            groups.sort(key=lambda need: state.is_held_group(need.group))
        return triage.StepNeed(
            job=state.job.id,
            trainer=f'{state.job.account}/{state.job.route}/{state.job.model}',
            step=state.job.step,
            due_at=state.due_at,
            groups=groups,
        )

    def set_fitting_groups(self, fitting: set[GroupId]) -> None:
        """Record the fitting groups and defer the others."""
        self.fitting_groups = fitting
        needs = [*self._started_needs, *self._unstarted_needs]
        self._deferred_needs = [
            need for need in needs if need.group not in fitting
        ]
        self._unscanned_runs = (
            run for run in self._ordered_runs if run.item.group in fitting
        )
        self._candidates = []

    def _scan_fitting(self) -> Iterator[ItemRun]:
        """Iterate over the runs of fitting groups, the longest first.

        Runs are scanned lazily, once per plan.
        """
        index = 0
        while True:
            if index == len(self._candidates):
                run = next(self._unscanned_runs, None)
                if run is None:
                    return
                self._candidates.append(run)
            yield self._candidates[index]
            index += 1

    @property
    def deferred_count(self) -> int:
        """Return the number of deferred groups."""
        return len(self._deferred_needs)

    def fitting_runs(self, pace: float) -> Iterator[Ranked]:
        """Return the runs of fitting groups, the least slack first."""
        started = [
            run
            for run in _waiting(self.state.started_runs)
            if run.text.events and run.item.group in self.fitting_groups
        ]
        return heapq.merge(
            sorted(self._with_deadlines(started, pace), key=sort_key),
            self._with_deadlines(_without_events(self._scan_fitting()), pace),
            key=sort_key,
        )

    def _with_deadlines(
        self, runs: Iterable[ItemRun], pace: float
    ) -> Iterator[Ranked]:
        for run in runs:
            seconds = pace * self._events(run)
            yield self.state.due_at - seconds, run.position, run

    def deferred_runs(self) -> Iterator[Ranked]:
        """Return the runs of deferred groups, the smallest group first."""
        for need in sorted(self._deferred_needs, key=_need_work):
            for run in _waiting(self._runs_by_group[need.group]):
                yield need.work, run.position, run


def sort_key(ranked: Ranked) -> tuple[float, int]:
    """Return the sort key without the run, which has no order."""
    return ranked[:2]


def _need_work(need: triage.GroupNeed) -> float:
    return need.work


def _without_events(runs: Iterable[ItemRun]) -> Iterator[ItemRun]:
    return (run for run in _waiting(runs) if not run.text.events)


def _waiting(runs: Iterable[ItemRun]) -> Iterator[ItemRun]:
    waiting = queue_module.RunState.WAITING
    return (run for run in runs if run.state is waiting)
