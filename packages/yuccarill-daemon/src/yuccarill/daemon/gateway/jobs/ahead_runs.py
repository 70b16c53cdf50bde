"""Generate texts for the step in which they will be asked for again."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import board as board_module
from yuccarill.core.jobs import left_behind
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.jobs import engines as engines_module
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import Job
    from yuccarill.daemon.gateway.jobs.generation import Generator

log = logs.for_part('ahead')

# Seconds for which a text is generated on once its job has ended. A trainer
# trains for a second and asks again at its next time, some seconds later.
KEPT_SECONDS = 6.0
# Places of all engines that stay free for the steps to come.
SPARE_PART = 0.3


class _AheadRun:
    """Track one text that is generated ahead."""

    def __init__(
        self,
        run: board_module.ItemRun,
        engine: engines_module.EngineState,
        now: Instant,
    ) -> None:
        self.run = run
        self.engine = engine
        self.started_at = now
        self.last_at = now
        self.until: Instant | None = None
        self.work: defer.Deferred[None] | None = None

    def progress(self, now: Instant) -> None:
        self.last_at = now


class AheadRuns:
    """Begin texts that their step will end without once more.

    A text that is cut off comes again two steps later, where its weights are
    too old: it begins anew, and that step takes as long as its longest text
    again. Begun a second time on the new weights while its step still runs,
    it has a few seconds less to go when it is asked for.
    """

    def __init__(
        self,
        board: board_module.JobBoard,
        fleet: engines_module.EngineFleet,
        generator: Generator,
        clock: Any,
    ) -> None:
        self._board = board
        self._fleet = fleet
        self._generator = generator
        self._clock = clock
        self._ahead_by_item: dict[ItemId, _AheadRun] = {}

    def update(self) -> None:
        """Begin what is worth it, and give up what is not any more."""
        now = self._now()
        for item, ahead in list(self._ahead_by_item.items()):
            if not self._is_wanted(ahead, now):
                self._drop(item)
        if self._board.count_waiting():
            return
        pace = self._fleet.usual_pace(now) or board_module.DEFAULT_PACE
        for state in self._board.jobs_by_id.values():
            job = self._next_job(state.job)
            if job is None:
                continue
            for run in left_behind.left_behind(self._board, state, pace):
                self._begin(run, job, now)

    def hand_over(self, job: Job) -> None:
        """Give a job's texts to the board, for the runs that go on."""
        for item in job.items:
            ahead = self._ahead_by_item.get(item.id)
            if ahead is None:
                continue
            log.info(
                'Text goes on in its step.',
                item=item.id,
                job=job.id,
                events=ahead.run.text.events,
                versions=ahead.run.text.versions,
            )
            self._drop(item.id)
            self._board.leave_for(job, ahead.run.left())

    def stop(self) -> None:
        """Give everything up."""
        for item in list(self._ahead_by_item):
            self._drop(item)

    def _next_job(self, job: Job) -> Job | None:
        return left_behind.next_job(
            job,
            (
                state.job
                for state in self._board.jobs_by_id.values()
                if state.job.model == job.model
            ),
        )

    def _is_wanted(self, ahead: _AheadRun, now: Instant) -> bool:
        run = ahead.run
        state = self._board.jobs_by_id.get(run.job.id)
        if state is None:
            ahead.until = ahead.until or Instant(now + KEPT_SECONDS)
            return now < ahead.until
        # The text that was begun first may end before its step does, and
        # be too late all the same for the trainer to read its group.
        job = self._next_job(state.job)
        if job is not None and not run.text.fits(job.min_version, False):
            return False
        return run.text.is_whole or not self._is_held_up(ahead, now)

    def _is_held_up(self, ahead: _AheadRun, now: Instant) -> bool:
        return ahead.work is None or self._fleet.is_held_up(
            ahead.engine, ahead.run.job, ahead.started_at, ahead.last_at, now
        )

    def _begin(
        self, run: board_module.ItemRun, job: Job, now: Instant
    ) -> None:
        item = run.item
        if item.id in self._ahead_by_item or run.failures:
            return
        if run.text.events and run.text.fits(job.min_version, False):
            return
        if self._fleet.free_part(now) < SPARE_PART:
            return
        engine = self._fleet.choose(job, now)
        if engine is None:
            return
        log.info(
            'Text begun for a later step.',
            item=item.id,
            job=job.id,
            engine=engine.target.id,
            min_version=job.min_version,
            events=run.text.events,
        )
        again = board_module.ItemRun(job, item, run.position)
        ahead = _AheadRun(again, engine, now)
        self._ahead_by_item[item.id] = ahead
        engine.runs_by_model[job.model] += 1
        ahead.work = defer.Deferred.fromCoroutine(self._run(ahead))
        ahead.work.addErrback(self._failed)

    async def _run(self, ahead: _AheadRun) -> None:
        try:
            outcome = await self._generator.run(
                ahead.run, ahead.engine, ahead.progress
            )
        finally:
            ahead.engine.runs_by_model[ahead.run.job.model] -= 1
            ahead.work = None
        ahead.run.text.is_whole = outcome is generation.Outcome.WHOLE

    def _drop(self, item: ItemId) -> None:
        ahead = self._ahead_by_item.pop(item)
        if ahead.work is not None:
            ahead.work.cancel()

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Run failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
