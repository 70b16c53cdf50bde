"""Run a lost holder's items, without listing anything."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import engines as engines_module
from yuccarill.core.jobs import job_queue as board_module
from yuccarill.daemon.gateway.jobs import item_runs
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.job import ItemResult
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.daemon.gateway.jobs.generation import Generator
    from yuccarill.daemon.gateway.jobs.scoring import Scorer
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('standby')


class StandbyRunner:
    """Generate and score what the next holder lists.

    It needs no duty: an item may run more than once, results are listed
    under a condition of the store, and engines are ordered by nobody.
    """

    def __init__(
        self,
        service: ServiceName,
        state: GatewayState,
        generator: Generator,
        guard: ContentGuard,
        scorer: Scorer,
        clock: Any,
    ) -> None:
        self._service = service
        self._state = state
        self._clock = clock
        self._board = board_module.JobQueue()
        self._fleet = engines_module.EngineFleet(
            item_runs.speed_book(state.placement)
        )
        self._works: set[defer.Deferred[None]] = set()
        self._runs = item_runs.ItemRuns(
            service,
            state,
            self._board,
            self._fleet,
            generator,
            guard,
            scorer,
            self,
            clock,
        )

    def start(
        self,
        jobs: Iterable[tuple[Job, set[ItemId]]],
        texts: Iterable[PartialText],
    ) -> None:
        """Begin with the jobs' items that have not ended."""
        self._board.keep_partial_texts(texts)
        for job, ended in jobs:
            self._add(job, ended)
        self.survey()

    def _add(self, job: Job, ended: set[ItemId]) -> None:
        # By the clocks of two machines: they only set the order of jobs.
        age = max(0.0, time.time() - job.submitted_at)
        submitted_at = Instant(self._now() - age)
        due_at = Instant(submitted_at + job.due_at - job.submitted_at)
        # The next holder says when an item is given up.
        state = board_module.JobState(
            job, submitted_at, due_at, Instant(float('inf'))
        )
        for item in ended:
            state.end(item)
        for run in self._board.add(state):
            self.track(job.id, self._runs.score(run))

    def survey(self) -> None:
        """Look at engines and runs anew, and start what can be."""
        self._fleet.update(self._state.engines(self._service))
        self._runs.moves.move()
        self._runs.pump()

    def stop(self) -> None:
        """End all runs; their texts stay."""
        self._runs.stop()
        for work in list(self._works):
            work.cancel()

    def texts(self) -> list[PartialText]:
        """Return what there is of each item."""
        return self._board.partial_texts(())

    def finish(
        self, run: board_module.ItemRun, result: ItemResult, cause: str
    ) -> None:
        """Keep an item's end for the next holder, which lists it."""
        self._board.jobs_by_id[run.job.id].end(run.item.id)
        log.info(
            'Item made by a standby.',
            item=run.item.id,
            job=run.job.id,
            end=result.state,
            cause=cause,
        )

    def track(
        self, job: JobId, work: Coroutine[Any, Any, None]
    ) -> defer.Deferred[None]:
        """Start work that ends with this runner."""
        running = defer.Deferred.fromCoroutine(work)
        self._works.add(running)
        running.addBoth(self._ended, running)
        return running

    def _ended(self, result: Any, running: defer.Deferred[None]) -> None:
        self._works.discard(running)
        if hasattr(result, 'check') and not result.check(defer.CancelledError):
            log.error('Work failed.', cause=result.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
