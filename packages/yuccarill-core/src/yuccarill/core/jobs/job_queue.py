"""Track open batch jobs and choose the item to run next."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import ResultState
from yuccarill.core.jobs import lengths as lengths_module
from yuccarill.core.jobs import partial_text as partial_text_module
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


# Partial texts kept from ended jobs, about 10 kB each.
MAX_PARTIAL_TEXTS = 500
# Seconds before a job's deadline from which each complete group is published
# at once: enough for two writes of results and one read by the trainer.
LISTING_AHEAD_SECONDS = 1.5
# Seconds of slack below which a text is urgent: too little for a weight change
# or a move to another engine. A weight change takes 0.9 s; a move takes some
# tenths of a second.
URGENT_SLACK_SECONDS = 1.2
# Seconds per event, assumed until an engine is measured.
DEFAULT_PACE = 0.04


class RunState(enum.Enum):
    """Enumerate the states of an item."""

    WAITING = 'waiting'
    # Suspended after engines have failed while they ran the item.
    HELD = 'held'
    RUNNING = 'running'
    SCORING = 'scoring'
    ENDED = 'ended'


class ItemRun:
    """Track the generation and scoring of one item of a job."""

    def __init__(self, job: Job, item: Item, position: int) -> None:
        self.job = job
        self.item = item
        # Index of the item in its job; results have an order of their own.
        self.position = position
        self.state = RunState.WAITING
        self.text = text_module.ItemText()
        # Digests of the request and of the scoring call, cached since all
        # texts are copied to the standby several times a second.
        self._body_digest = b''
        self._scoring_digest = b''
        # Digest of the item's request, computed on first use.
        self.content: ContentDigest | None = None
        # None until the text is scored.
        self.score: str | None = None
        # Failures reported by engines, and by the scorer.
        self.failures = 0
        self.score_failures = 0

    def resume(self, partial: partial_text_module.PartialText) -> bool:
        """Resume from a partial text; return False if it does not fit."""
        if partial.body_digest != partial_text_module.body_digest(self.item):
            return False
        text = text_module.ItemText.restore(
            partial.parts, partial.versions, partial.is_whole
        )
        if not text.fits(self.job.min_version, self.job.is_single_version):
            return False
        self.text = text
        if partial.scoring_digest == partial_text_module.scoring_digest(
            self.item
        ):
            self.score = partial.score
        return True

    def partial_text(self) -> partial_text_module.PartialText:
        """Return the partial text with its score."""
        if not self._body_digest:
            self._body_digest = partial_text_module.body_digest(self.item)
            self._scoring_digest = partial_text_module.scoring_digest(
                self.item
            )
        return partial_text_module.PartialText(
            item=self.item.id,
            body_digest=self._body_digest,
            scoring_digest=self._scoring_digest,
            parts=self.text.parts,
            versions=self.text.versions,
            is_whole=self.text.is_whole,
            score=self.score,
        )

    def fail(self) -> ItemResult | None:
        """Count a failed run; return a result if no attempt is left."""
        self.failures += 1
        if self.failures >= self.job.max_attempts:
            return self.failed_result()
        return None

    def fail_scores(self, count: int, max_attempts: int) -> bool:
        """Count scoring failures; return whether the limit is reached.

        The limit comes from the scorer's route, not from the job.
        """
        self.score_failures += count
        return self.score_failures >= max_attempts

    def failed_result(self) -> ItemResult:
        return ItemResult(id=self.item.id, state=ResultState.FAILED)

    def completed_result(self, score: str) -> ItemResult:
        return ItemResult(
            id=self.item.id,
            state=ResultState.COMPLETED,
            text=self.text.text,
            versions=self.text.versions,
            score=score,
        )


class JobState:
    """Track the items and groups of one open job."""

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
        self._unfinished_by_group: dict[GroupId, int] = {}
        self._started_groups: set[GroupId] = set()
        self._started_runs: dict[ItemId, ItemRun] = {}
        self._held_items: collections.Counter[GroupId] = collections.Counter()
        # Number of groups whose items all have a result.
        self.whole_groups = 0
        for position, item in enumerate(job.items):
            self.runs_by_id[item.id] = ItemRun(job, item, position)
            count = self._unfinished_by_group.get(item.group, 0)
            self._unfinished_by_group[item.group] = count + 1

    def begin(self, run: ItemRun) -> None:
        self._started_groups.add(run.item.group)
        self._started_runs[run.item.id] = run

    @property
    def started_runs(self) -> Iterable[ItemRun]:
        """Return the runs that have started and not ended."""
        return self._started_runs.values()

    def unfinished_started_groups(self) -> set[GroupId]:
        """Return the started groups that are not complete."""
        return {
            g for g in self._started_groups if self._unfinished_by_group[g] > 0
        }

    @property
    def has_held_groups(self) -> bool:
        """Return whether any group has a suspended item."""
        return any(self._held_items.values())

    def hold(self, run: ItemRun) -> None:
        """Suspend an item."""
        run.state = RunState.HELD
        self._held_items[run.item.group] += 1

    def resume(self, run: ItemRun) -> None:
        """Queue a suspended item again."""
        if run.state is RunState.HELD:
            run.state = RunState.WAITING
            self._held_items[run.item.group] -= 1

    def is_held_group(self, group: GroupId) -> bool:
        """Return whether a group has a suspended item."""
        return self._held_items[group] > 0

    def end(self, item_id: ItemId) -> bool:
        """Mark an item as ended; return whether this completes its group."""
        run = self.runs_by_id.get(item_id)
        if run is None or run.state is RunState.ENDED:
            return False
        run.state = RunState.ENDED
        self._started_runs.pop(item_id, None)
        self._unfinished_by_group[run.item.group] -= 1
        is_complete = self._unfinished_by_group[run.item.group] == 0
        self.whole_groups += is_complete
        return is_complete

    def is_listing_urgent(self, now: Instant) -> bool:
        """Return whether the trainer acts on the next complete group at once.

        A trainer trains once it has the groups that it wants, or with those
        that it has at the deadline.
        """
        if self.whole_groups >= self.job.wanted_groups:
            return True
        return now >= self.due_at - LISTING_AHEAD_SECONDS

    def apply_result(self, result: ItemResult) -> None:
        """Apply a result that another instance published."""
        run = self.runs_by_id.get(result.id)
        if run is None:
            return
        self.end(result.id)
        # The next step repeats the items of incomplete groups. Keeping the
        # text avoids generating and scoring them twice.
        if result.state is ResultState.COMPLETED:
            run.text = text_module.ItemText.restore(
                [result.text], result.versions, is_whole=True
            )
            run.score = result.score

    @property
    def is_finished(self) -> bool:
        return not any(self._unfinished_by_group.values())

    def waiting(self) -> Iterator[ItemRun]:
        for run in self.runs_by_id.values():
            if run.state is RunState.WAITING:
                yield run

    def rank(self, run: ItemRun) -> tuple[bool, bool, int, int]:
        """Return the sort key of an item; the lowest runs first."""
        # Only complete groups count, so started groups go first, those with
        # the fewest unfinished items ahead. Groups carried over from an
        # earlier step are listed first in the job.
        group = run.item.group
        # A group with a suspended item can't be completed and goes last.
        return (
            self._held_items[group] > 0,
            group not in self._started_groups,
            self._unfinished_by_group[group]
            if group in self._started_groups
            else 0,
            run.position,
        )


class JobQueue:
    """Hold the open jobs and partial texts of one service."""

    def __init__(self) -> None:
        self.jobs_by_id: dict[JobId, JobState] = {}
        self.lengths = lengths_module.TextLengths()
        # Partial texts of items whose jobs have ended here or still run on
        # another instance, the oldest first.
        self._partial_texts_by_id: dict[
            ItemId, partial_text_module.PartialText
        ] = {}

    def add(
        self, state: JobState, listed: Iterable[ItemResult] = ()
    ) -> list[ItemRun]:
        """Add a job with its published results.

        Returns the runs whose text an earlier job has completed.
        """
        self.jobs_by_id[state.job.id] = state
        for result in listed:
            state.apply_result(result)
        whole = []
        for run in list(state.waiting()):
            text = self._partial_texts_by_id.pop(run.item.id, None)
            if text is not None and run.resume(text) and run.text.is_whole:
                whole.append(run)
        return whole

    def remove(self, job: JobId) -> JobState | None:
        """Remove a job that its trainer has closed."""
        state = self.jobs_by_id.pop(job, None)
        if state is None:
            return None
        # The trainer requests incomplete groups again in the next step,
        # which resumes from their partial texts.
        self.keep_partial_texts(
            run.partial_text()
            for run in state.runs_by_id.values()
            if run.text.events
        )
        return state

    def keep_partial_texts(
        self, texts: Iterable[partial_text_module.PartialText]
    ) -> None:
        """Keep partial texts for later jobs with the same items."""
        for text in texts:
            self._partial_texts_by_id[text.item] = text
        while len(self._partial_texts_by_id) > MAX_PARTIAL_TEXTS:
            del self._partial_texts_by_id[
                next(iter(self._partial_texts_by_id))
            ]

    def partial_texts(
        self, listed: Container[ItemId]
    ) -> list[partial_text_module.PartialText]:
        """Return the texts for another instance to resume, open jobs first.

        Published results are left out; the other instance reads them itself.
        """
        return [
            *self.unlisted_texts(listed),
            *reversed(self._partial_texts_by_id.values()),
        ]

    def unlisted_texts(
        self, listed: Container[ItemId]
    ) -> list[partial_text_module.PartialText]:
        """Return the texts of open jobs whose results are unpublished."""
        return [
            run.partial_text()
            for state in self.jobs_by_id.values()
            for run in state.runs_by_id.values()
            if run.text.events and run.item.id not in listed
        ]

    def waiting(self, pace: float = DEFAULT_PACE) -> list[ItemRun]:
        """Return the items to run, those with the least slack first.

        The longest text decides when a step ends, so items are ordered by
        deadline less expected duration. `pace` is in seconds per event.
        """
        keyed = [
            (state.due_at - self.seconds_left(run, pace), state.rank(run), run)
            for state in self.jobs_by_id.values()
            for run in state.waiting()
        ]
        keyed.sort(key=lambda each: each[:2])
        return [run for _, _, run in keyed]

    def count_waiting(self) -> int:
        """Count the items that wait for an engine."""
        states = self.jobs_by_id.values()
        return sum(1 for state in states for _ in state.waiting())

    def seconds_left(self, run: ItemRun, pace: float) -> float:
        """Return the expected seconds until a text is complete."""
        rest = self.lengths.remaining(run.job.model, run.item, run.text.events)
        return pace * rest

    def is_urgent(self, run: ItemRun, pace: float, now: Instant) -> bool:
        """Return whether a text has too little slack for any delay."""
        state = self.jobs_by_id.get(run.job.id)
        if state is None:
            return False
        seconds = self.seconds_left(run, pace)
        return state.due_at - now - seconds < URGENT_SLACK_SECONDS

    def expired(self, now: Instant) -> list[ItemRun]:
        """Return the unfinished items of jobs past their retention."""
        return [
            run
            for state in self.jobs_by_id.values()
            if now >= state.retained_until
            for run in state.runs_by_id.values()
            if run.state is not RunState.ENDED
        ]
