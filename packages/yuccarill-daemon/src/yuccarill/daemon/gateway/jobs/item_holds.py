"""Hold items back that may end the engines which run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.gateway import partitions
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.engine_assignment import EngineAssigner
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job_queue import ItemRun
    from yuccarill.core.jobs.job_queue import JobQueue
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard

log = logs.for_part('runner')


class ItemHolds:
    """Say which items may run now, and apart from which others."""

    def __init__(
        self, service: ServiceName, board: JobQueue, guard: ContentGuard
    ) -> None:
        self._service = partitions.service_of_part(service)
        self._board = board
        self._guard = guard
        # Those that are quarantined.
        self.runs: list[ItemRun] = []

    def is_held_back(self, run: ItemRun) -> bool:
        """Tell whether an item may not be run now for what it did.

        Nobody may give it up before its job's time is over, or has its
        result; until then it waits, and its job is whole without its group.
        """
        if not run.text.events and self._is_unsettled(run):
            return True
        if self._guard.ledger.is_clear and self._guard.doubts.is_empty:
            return False
        content = _content(run)
        if self._guard.is_admitted(content, self._service):
            return False
        if self._guard.ledger.verdict(content) is Verdict.QUARANTINED:
            # Its group can't be whole, and goes after those that can.
            self._board.jobs_by_id[run.job.id].hold(run)
            self.runs.append(run)
            log.info(
                'Item held back.',
                item=run.item.id,
                job=run.job.id,
                content=content,
            )
        return True

    def resume(self) -> None:
        """Let items wait for an engine again that are quarantined no more."""
        for run in list(self.runs):
            verdict = self._guard.ledger.verdict(_content(run))
            state = self._board.jobs_by_id.get(run.job.id)
            if state is not None and verdict is Verdict.QUARANTINED:
                continue
            self.runs.remove(run)
            if state is not None:
                state.resume(run)

    def choose(
        self, run: ItemRun, placing: EngineAssigner
    ) -> EngineState | None:
        """Choose an engine where a suspect is told from the others."""
        if self._guard.ledger.is_clear:
            return placing.choose(run.job)
        content = _content(run)
        return placing.choose(
            run.job, self._guard.others(content), self._guard.barred(content)
        )

    def is_suspect(self, run: ItemRun) -> bool:
        """Tell whether an item finds fewer engines than others do."""
        if self._guard.ledger.is_clear:
            return False
        return self._guard.ledger.verdict(_content(run)) is Verdict.SUSPECT

    def note_broken(self, run: ItemRun) -> None:
        """Know an item by what it asks from its first broken run on."""
        _content(run)

    def _is_unsettled(self, run: ItemRun) -> bool:
        # Its next engine may end before it is known that this one did.
        return run.content is not None and self._guard.is_unsettled(
            run.content
        )


def _content(run: ItemRun) -> ContentDigest:
    if run.content is None:
        run.content = generation.content_of(run)
    return run.content
