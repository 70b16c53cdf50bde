"""Decide which item of which batch job is run next."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import ResultState
from yuccarill.core.jobs import left_text
from yuccarill.core.jobs import lengths as lengths_module
from yuccarill.core.jobs import text as text_module

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Iterator

    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import Instant
    from yuccarill.core.jobs.job import GroupId
    from yuccarill.core.jobs.job import Item
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId


# Texts kept of ended jobs: the items of some steps, some 10 kB each.
MAX_LEFT = 500
# Seconds before a job is due from which each whole group is awaited: a read
# of the trainer and two writes of results fit.
AWAITED_SECONDS = 1.5
# Seconds to spare below which a text is in a hurry: a change of weights takes
# 0.9 s, and a move with what it reads again some tenths.
HURRY_SECONDS = 1.2
# Seconds an event that stand until the first engine was seen at work.
DEFAULT_PACE = 0.04


class RunState(enum.Enum):
    """Say how far an item is."""

    WAITING = 'waiting'
    # Not to be run for now, since engines ended under it.
    HELD = 'held'
    RUNNING = 'running'
    SCORING = 'scoring'
    ENDED = 'ended'


class ItemRun:
    """Track one item of one job."""

    def __init__(self, job: Job, item: Item, position: int) -> None:
        self.job = job
        self.item = item
        # The item's place in its job, which is not that of its result.
        self.position = position
        self.state = RunState.WAITING
        self.text = text_module.ItemText()
        # What tells its prompt and its scoring call from others, worked out
        # once: copies of some thousand texts are made twice a second.
        self._body_digest = b''
        self._scoring_digest = b''
        # What the item asks, once that was needed.
        self.content: ContentDigest | None = None
        # Set once the text is scored.
        self.score: str | None = None
        # Answers that said the item failed at an engine, or at its scorer.
        self.failures = 0
        self.score_failures = 0

    def reuse(self, left: left_text.LeftText) -> bool:
        """Go on with what an earlier run left of the same item."""
        if left.body_digest != left_text.body_digest(self.item):
            return False
        text = text_module.ItemText.restore(
            left.parts, left.versions, left.is_whole
        )
        if not text.fits(self.job.min_version, self.job.is_single_version):
            return False
        self.text = text
        if left.scoring_digest == left_text.scoring_digest(self.item):
            self.score = left.score
        return True

    def left(self) -> left_text.LeftText:
        """Return what there is of the text."""
        if not self._body_digest:
            self._body_digest = left_text.body_digest(self.item)
            self._scoring_digest = left_text.scoring_digest(self.item)
        return left_text.LeftText(
            item=self.item.id,
            body_digest=self._body_digest,
            scoring_digest=self._scoring_digest,
            parts=self.text.parts,
            versions=self.text.versions,
            is_whole=self.text.is_whole,
            score=self.score,
        )

    def fail(self) -> ItemResult | None:
        """Count a failed run; return the result if it was the last."""
        self.failures += 1
        if self.failures >= self.job.max_attempts:
            return self.given_up()
        return None

    def fail_scores(self, count: int, max_attempts: int) -> bool:
        """Count answers of the scorer that it failed; tell if it may end.

        The scorer's own route says how many are enough, not the job's.
        """
        self.score_failures += count
        return self.score_failures >= max_attempts

    def given_up(self) -> ItemResult:
        return ItemResult(id=self.item.id, state=ResultState.FAILED)

    def completed(self, score: str) -> ItemResult:
        return ItemResult(
            id=self.item.id,
            state=ResultState.COMPLETED,
            text=self.text.text,
            versions=self.text.versions,
            score=score,
        )


class JobState:
    """Track one open job."""

    def __init__(
        self,
        job: Job,
        submitted_at: Instant,
        due_at: Instant,
        retained_until: Instant,
    ) -> None:
        self.job = job
        self.submitted_at = submitted_at
        self.due_at = due_at
        self.retained_until = retained_until
        self.runs_by_id: dict[ItemId, ItemRun] = {}
        self._left_by_group: dict[GroupId, int] = {}
        self._begun: set[GroupId] = set()
        # Each run that has begun, once.
        self._begun_runs: dict[ItemId, ItemRun] = {}
        self._held: collections.Counter[GroupId] = collections.Counter()
        # Groups all of whose items have a result.
        self.whole_groups = 0
        for position, item in enumerate(job.items):
            self.runs_by_id[item.id] = ItemRun(job, item, position)
            left = self._left_by_group.get(item.group, 0)
            self._left_by_group[item.group] = left + 1

    def begin(self, run: ItemRun) -> None:
        self._begun.add(run.item.group)
        self._begun_runs[run.item.id] = run

    @property
    def begun_runs(self) -> Iterable[ItemRun]:
        """Return the runs that have begun and have not ended."""
        return self._begun_runs.values()

    def open_begun_groups(self) -> set[GroupId]:
        """Return the groups that have begun and are not whole."""
        return {g for g in self._begun if self._left_by_group[g] > 0}

    @property
    def has_held_groups(self) -> bool:
        """Tell whether there are groups that can't be whole for now."""
        return any(self._held.values())

    def hold(self, run: ItemRun) -> None:
        """Keep an item from being run."""
        run.state = RunState.HELD
        self._held[run.item.group] += 1

    def resume(self, run: ItemRun) -> None:
        """Let an item that was held wait for an engine again."""
        if run.state is RunState.HELD:
            run.state = RunState.WAITING
            self._held[run.item.group] -= 1

    def is_held_group(self, group: GroupId) -> bool:
        """Tell whether a group can't be whole for now."""
        return self._held[group] > 0

    def end(self, item_id: ItemId) -> bool:
        """Note that an item has its result; tell if its group is whole."""
        run = self.runs_by_id.get(item_id)
        if run is None or run.state is RunState.ENDED:
            return False
        run.state = RunState.ENDED
        self._begun_runs.pop(item_id, None)
        self._left_by_group[run.item.group] -= 1
        is_whole = self._left_by_group[run.item.group] == 0
        self.whole_groups += is_whole
        return is_whole

    def is_awaited(self, now: Instant) -> bool:
        """Tell whether a trainer may act on one more whole group now.

        It trains once it has as many as it wants, and counts those that it
        has when the job is due; until then it only collects them.
        """
        if self.whole_groups >= self.job.wanted_groups:
            return True
        return now >= self.due_at - AWAITED_SECONDS

    def take(self, result: ItemResult) -> None:
        """Take a result that another instance listed."""
        run = self.runs_by_id.get(result.id)
        if run is None:
            return
        self.end(result.id)
        # An item of a group that was not whole comes again in the next
        # step, and would be made and scored a second time.
        if result.state is ResultState.COMPLETED:
            run.text = text_module.ItemText.restore(
                [result.text], result.versions, is_whole=True
            )
            run.score = result.score

    @property
    def is_finished(self) -> bool:
        return not any(self._left_by_group.values())

    def waiting(self) -> Iterator[ItemRun]:
        for run in self.runs_by_id.values():
            if run.state is RunState.WAITING:
                yield run

    def rank(self, run: ItemRun) -> tuple[bool, bool, int, int]:
        """Order the job's items; the lowest goes first."""
        # A trainer counts whole groups: one that was begun is finished
        # before the next, those with the fewest items left first. Groups
        # carried over from an earlier step stand first in the job.
        group = run.item.group
        # A group that can't be whole goes last.
        return (
            self._held[group] > 0,
            group not in self._begun,
            self._left_by_group[group] if group in self._begun else 0,
            run.position,
        )


class JobBoard:
    """Hold the open jobs of one service."""

    def __init__(self) -> None:
        self.jobs_by_id: dict[JobId, JobState] = {}
        self.lengths = lengths_module.TextLengths()
        # What was made of items whose jobs have ended here, or are run by
        # another instance so far; the oldest first.
        self._left_by_id: dict[ItemId, left_text.LeftText] = {}

    def add(
        self, state: JobState, listed: Iterable[ItemResult] = ()
    ) -> list[ItemRun]:
        """Take a job and the results that its items already have.

        Returns the runs whose text is whole, from an earlier job.
        """
        self.jobs_by_id[state.job.id] = state
        for result in listed:
            state.take(result)
        whole = []
        for run in list(state.waiting()):
            left = self._left_by_id.pop(run.item.id, None)
            if left is not None and run.reuse(left) and run.text.is_whole:
                whole.append(run)
        return whole

    def remove(self, job: JobId) -> JobState | None:
        """Forget a job that its trainer ended."""
        state = self.jobs_by_id.pop(job, None)
        if state is None:
            return None
        # The trainer asks again for groups that were not whole, and what
        # is made of them is work saved in the next step.
        self.leave(
            run.left() for run in state.runs_by_id.values() if run.text.events
        )
        return state

    def leave(self, texts: Iterable[left_text.LeftText]) -> None:
        """Keep texts for the jobs that will ask for their items."""
        for text in texts:
            self._left_by_id[text.item] = text
        while len(self._left_by_id) > MAX_LEFT:
            del self._left_by_id[next(iter(self._left_by_id))]

    def left(self, listed: Container[ItemId]) -> list[left_text.LeftText]:
        """Return what another instance would go on with, open jobs first.

        It reads by itself which items have their results listed.
        """
        return [*self.unlisted(listed), *reversed(self._left_by_id.values())]

    def unlisted(self, listed: Container[ItemId]) -> list[left_text.LeftText]:
        """Return the texts of open jobs whose results are not listed."""
        return [
            run.left()
            for state in self.jobs_by_id.values()
            for run in state.runs_by_id.values()
            if run.text.events and run.item.id not in listed
        ]

    def waiting(self, pace: float = DEFAULT_PACE) -> list[ItemRun]:
        """Return the items to run, the most urgent first.

        An engine takes some seconds for an event, the pace. The longest
        text decides when a step ends, so the text goes first whose engine
        has the least time to spare until its job is due. In the order of
        positions steps end 0.2 s and more later where texts outnumber
        places; over 20 days of long texts, each played both ways, it is
        worth 0.03 of what a day may earn.
        """
        found = [
            (state.due_at - self.seconds_left(run, pace), state.rank(run), run)
            for state in self.jobs_by_id.values()
            for run in state.waiting()
        ]
        found.sort(key=lambda each: each[:2])
        return [run for _, _, run in found]

    def count_waiting(self) -> int:
        """Count the items that have no place."""
        states = self.jobs_by_id.values()
        return sum(1 for state in states for _ in state.waiting())

    def seconds_left(self, run: ItemRun, pace: float) -> float:
        """Return how long an engine will still need for a text."""
        left = self.lengths.remaining(run.job.model, run.item, run.text.events)
        return pace * left

    def is_hurried(self, run: ItemRun, pace: float, now: Instant) -> bool:
        """Tell whether a text ends late if it loses a second."""
        state = self.jobs_by_id.get(run.job.id)
        if state is None:
            return False
        left = self.seconds_left(run, pace)
        return state.due_at - now - left < HURRY_SECONDS

    def expired(self, now: Instant) -> list[ItemRun]:
        """Return the unfinished items whose time is over."""
        return [
            run
            for state in self.jobs_by_id.values()
            if now >= state.retained_until
            for run in state.runs_by_id.values()
            if run.state is not RunState.ENDED
        ]
