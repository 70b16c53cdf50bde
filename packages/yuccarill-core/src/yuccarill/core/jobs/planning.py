"""Put waiting items in order by which groups can be whole in time."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import triage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.board import ItemRun
    from yuccarill.core.jobs.board import JobBoard
    from yuccarill.core.jobs.board import JobState
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job import GroupId
    from yuccarill.core.jobs.job import JobId
    from yuccarill.core.jobs.lengths import TextLengths
    from yuccarill.core.jobs.placing import Placing

# Seconds for which a plan stands while no job comes or ends.
PLAN_SECONDS = 0.25
# Seconds that a move takes: a new connection, the text read again, and the
# wait for the engine's next step.
MOVE_SECONDS = 0.15
# Seconds to spare below which a text may be moved for its end alone.
SPARE_SECONDS = 3.0
# Standard errors by which a move's gain must be above nothing.
SURE_ERRORS = 1.0

# An item's place in an order, the lowest first.
_Key = tuple[float, int, 'ItemRun']


class _JobPlan:
    """Keep the items of one job in their order."""

    def __init__(self, state: JobState, lengths: TextLengths) -> None:
        self.state = state
        self._lengths = lengths
        self._runs_by_group: dict[GroupId, list[ItemRun]] = {}
        for run in state.runs_by_id.values():
            self._runs_by_group.setdefault(run.item.group, []).append(run)
        # Texts of which nothing was there when it was last looked, the
        # longest first, and all others.
        self.fresh = sorted(
            state.runs_by_id.values(),
            key=lambda run: (-self._events(run), run.position),
        )
        self.begun: list[ItemRun] = []
        self._fresh_needs = {
            group: self._need(group) for group in self._runs_by_group
        }
        self._first_scale = self._scale()
        self.needs_by_group: dict[GroupId, triage.GroupNeed] = {}
        # Fresh texts by whether their groups fit.
        self.fitting: list[ItemRun] = []
        self.rest: list[ItemRun] = []
        self.fitting_groups: set[GroupId] = set()
        self.is_modest = True

    def _scale(self) -> float:
        """Return the events that stand for one of a hint now."""
        item = self.state.job.items[0] if self.state.job.items else None
        if item is None:
            return 1.0
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
        self._sort_out()
        touched = {run.item.group for run in self.begun}
        for group in touched:
            self._fresh_needs.pop(group, None)
        ratio = self._scale() / max(1e-9, self._first_scale)
        found = {group: self._need(group) for group in touched}
        for need in found.values():
            need.is_begun = True
        for group, need in self._fresh_needs.items():
            found[group] = triage.GroupNeed(
                group=group,
                work=need.work * ratio,
                longest=need.longest * ratio,
            )
        self.needs_by_group = found

    def _sort_out(self) -> None:
        waiting = board_module.RunState.WAITING
        fresh = []
        for run in self.fresh:
            if run.state is waiting and not run.text.events:
                fresh.append(run)
            else:
                self.begun.append(run)
        self.fresh = fresh
        ended = board_module.RunState.ENDED
        self.begun = [
            run
            for run in self.begun
            if run.state is not ended or not self._is_whole(run)
        ]

    def _is_whole(self, run: ItemRun) -> bool:
        ended = board_module.RunState.ENDED
        return all(
            other.state is ended
            for other in self._runs_by_group[run.item.group]
        )

    def step(self) -> triage.StepNeed:
        """Return what the step still needs."""
        state = self.state
        # Begun groups go on; of the others those that need the least.
        groups = sorted(
            self.needs_by_group.values(),
            key=lambda need: (
                state.is_held_group(need.group),
                not need.is_begun,
                need.work,
            ),
        )
        return triage.StepNeed(
            job=state.job.id,
            trainer=f'{state.job.account}/{state.job.route}/{state.job.model}',
            step=state.job.step,
            due_at=state.due_at,
            groups=groups,
        )

    def divide(self, fitting: set[GroupId]) -> None:
        """Part the texts of groups that fit from the others."""
        self.fitting_groups = fitting
        self.fitting = [r for r in self.fresh if r.item.group in fitting]
        needs = self.needs_by_group
        self.rest = sorted(
            (r for r in self.fresh if r.item.group not in fitting),
            key=lambda run: (needs[run.item.group].work, run.position),
        )

    def first(self, pace: float) -> Iterator[_Key]:
        """Order the texts of groups that fit by their time to spare."""
        begun = sorted(
            self._urgent(self._begun_waiting(True), pace), key=_place
        )
        return heapq.merge(begun, self._urgent(self.fitting, pace), key=_place)

    def last(self) -> Iterator[_Key]:
        """Order the other texts by what their groups still need."""
        begun = sorted(self._least(self._begun_waiting(False)), key=_place)
        return heapq.merge(begun, self._least(self.rest), key=_place)

    def _urgent(self, runs: Iterable[ItemRun], pace: float) -> Iterator[_Key]:
        for run in _waiting(runs):
            left = pace * self._events(run)
            yield self.state.due_at - left, run.position, run

    def _least(self, runs: Iterable[ItemRun]) -> Iterator[_Key]:
        for run in _waiting(runs):
            work = self.needs_by_group[run.item.group].work
            yield work, run.position, run

    def _begun_waiting(self, is_fitting: bool) -> list[ItemRun]:
        return [
            run
            for run in _waiting(self.begun)
            if (run.item.group in self.fitting_groups) is is_fitting
        ]


class FinishPlan:
    """Plan the items of all open jobs of one service."""

    def __init__(self, board: JobBoard, fleet: EngineFleet) -> None:
        self._board = board
        self._fleet = fleet
        self._plans_by_job: dict[JobId, _JobPlan] = {}
        self._planned_at = Instant(-math.inf)
        # Whether engines can't do all that is due.
        self.is_short = False

    @property
    def put_off(self) -> int:
        """Count the groups that wait behind those that fit."""
        return sum(
            len(plan.needs_by_group) - len(plan.fitting_groups)
            for plan in self._plans_by_job.values()
        )

    def fits(self, run: ItemRun) -> bool:
        """Tell whether a run is of a group that can be whole in time."""
        plan = self._plans_by_job.get(run.job.id)
        return plan is not None and run.item.group in plan.fitting_groups

    def spare(self, run: ItemRun, pace: float, now: Instant) -> float:
        """Return the seconds from a run's expected end to its due time."""
        left = self._board.lengths.expected(
            run.job.model, run.item, run.text.events
        )
        state = self._board.jobs_by_id[run.job.id]
        return state.due_at - now - pace * left

    def waiting(self, pace: float, now: Instant) -> Iterator[ItemRun]:
        """Return the items to run: those that fit, and then the others.

        Costs what is taken of it, besides a plan each `PLAN_SECONDS`.
        """
        self._follow(now)
        return self._ordered(pace)

    def _ordered(self, pace: float) -> Iterator[ItemRun]:
        plans = list(self._plans_by_job.values())
        # Who asks for less than its part waits for nobody who asks for more.
        for is_modest in (True, False):
            chosen = [p for p in plans if p.is_modest is is_modest]
            yield from _merged([p.first(pace) for p in chosen])
        yield from _merged([p.last() for p in plans])

    def _follow(self, now: Instant) -> None:
        jobs = self._board.jobs_by_id
        for gone in self._plans_by_job.keys() - jobs.keys():
            del self._plans_by_job[gone]
            self._planned_at = Instant(-math.inf)
        for name, state in jobs.items():
            known = self._plans_by_job.get(name)
            if known is None or known.state is not state:
                plan = _JobPlan(state, self._board.lengths)
                self._plans_by_job[name] = plan
                self._planned_at = Instant(-math.inf)
        if now >= self._planned_at + PLAN_SECONDS:
            self._planned_at = now
            self._plan(now)

    def _plan(self, now: Instant) -> None:
        plans = self._plans_by_job.values()
        for plan in plans:
            plan.update()
        steps = [plan.step() for plan in plans]
        supply = self._supply(now)
        self.is_short = self._are_lengths_known() and triage.is_short(
            steps, supply, now
        )
        if self.is_short:
            choice = triage.fitting(steps, supply, now)
        else:
            choice = triage.everything(steps)
        for plan in plans:
            name = plan.state.job.id
            plan.divide(choice.groups_by_job[name])
            plan.is_modest = name in choice.modest_jobs

    def _are_lengths_known(self) -> bool:
        # Hints in other units than events say nothing of what fits.
        return all(
            self._board.lengths.is_scaled(plan.state.job.items[0])
            for plan in self._plans_by_job.values()
            if plan.state.job.items
        )

    def _supply(self, now: Instant) -> triage.Supply:
        """Return what the engines that can run an open job can do."""
        needs = {
            (plan.state.job.model, plan.state.job.min_version)
            for plan in self._plans_by_job.values()
        }
        rate = 0.0
        for engine in self._fleet.engines_by_id.values():
            if _serves(engine, needs, now):
                pace = self._fleet.full_pace(engine, now)
                rate += engine.target.slots / pace
        pace = self._fleet.usual_pace(now) or board_module.DEFAULT_PACE
        return triage.Supply(rate=rate, pace=pace)

    def is_better_off(
        self,
        run: ItemRun,
        engine: EngineState,
        places: Placing,
        now: Instant,
    ) -> bool:
        """Tell whether a run surely ends sooner at the best free engine.

        A text that has time to spare stays where it is, unless its engine
        is slower than it should be.
        """
        pace = self._fleet.estimate(engine, engine.running - 1, now).pace
        is_slow = self._fleet.is_slow(engine, now)
        if not is_slow and self.spare(run, pace, now) >= SPARE_SECONDS:
            return False
        other = places.choose(run.job)
        if other is None or other is engine:
            return False
        return self.gain(run, engine, other, now) > 0.0

    def gain(
        self,
        run: ItemRun,
        engine: EngineState,
        other: EngineState,
        now: Instant,
    ) -> float:
        """Return the seconds that a move surely gains, below 0 if none."""
        left = self._board.lengths.expected(
            run.job.model, run.item, run.text.events
        )
        here = self._fleet.estimate(engine, engine.running - 1, now)
        there = self._fleet.estimate(other, other.running, now)
        error = math.hypot(
            here.pace * here.deviation, there.pace * there.deviation
        )
        surely = here.pace - there.pace - SURE_ERRORS * error
        return left * surely - MOVE_SECONDS


def _place(key: _Key) -> tuple[float, int]:
    return key[:2]


def _waiting(runs: Iterable[ItemRun]) -> Iterator[ItemRun]:
    waiting = board_module.RunState.WAITING
    return (run for run in runs if run.state is waiting)


def _merged(orders: Iterable[Iterator[_Key]]) -> Iterator[ItemRun]:
    return (key[2] for key in heapq.merge(*orders, key=_place))


def _serves(
    engine: EngineState,
    needs: Iterable[tuple[ModelName | None, WeightVersion]],
    now: Instant,
) -> bool:
    if engine.target.is_leaving or now < engine.ejected_until:
        return False
    for model, least in needs:
        if model is None:
            return True
        version = engine.version(model)
        if version is not None and version >= least:
            return True
    return False
