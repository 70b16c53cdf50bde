"""Hold back items that are suspected of crashing engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
    """Decide which items can run now, and at which engines."""

    def __init__(self, queue: JobQueue, guard: ContentGuard) -> None:
        self._queue = queue
        self._guard = guard
        self.quarantined_runs: list[ItemRun] = []

    def is_held_back(self, run: ItemRun, service: ServiceName) -> bool:
        """Return whether an item must not run now because of engine crashes.

        A held item waits until its job expires; the job can complete without
        the item's group.
        """
        if not run.text.events and self._has_unsettled_run(run):
            return True
        if (
            self._guard.ledger.is_clear
            and self._guard.unconfirmed_losses.is_empty
        ):
            return False
        content = _ensure_content(run)
        if self._guard.is_admitted(content, service):
            return False
        if self._guard.ledger.verdict(content) is Verdict.QUARANTINED:
            # The group cannot complete, so groups that can complete go first.
            self._queue.jobs_by_id[run.job.id].hold(run)
            self.quarantined_runs.append(run)
            log.info(
                'Item held back: its content is quarantined.',
                item=run.item.id,
                job=run.job.id,
                content=content,
            )
        return True

    def resume(self) -> None:
        """Requeue the items whose quarantine has ended."""
        for run in list(self.quarantined_runs):
            verdict = self._guard.ledger.verdict(_ensure_content(run))
            state = self._queue.jobs_by_id.get(run.job.id)
            if state is not None and verdict is Verdict.QUARANTINED:
                continue
            self.quarantined_runs.remove(run)
            if state is not None:
                state.resume(run)

    def choose_engine(
        self, run: ItemRun, assigner: EngineAssigner
    ) -> EngineState | None:
        """Choose an engine, keeping a suspect apart from other suspects."""
        if self._guard.ledger.is_clear:
            return assigner.choose(run.job)
        content = _ensure_content(run)
        return assigner.choose(
            run.job,
            self._guard.suspicious_counts_by_target(content),
            self._guard.forbidden_targets(content),
        )

    def is_suspect(self, run: ItemRun) -> bool:
        """Return whether an item is suspected, and so has fewer engines."""
        if self._guard.ledger.is_clear:
            return False
        return (
            self._guard.ledger.verdict(_ensure_content(run)) is Verdict.SUSPECT
        )

    def ensure_content(self, run: ItemRun) -> None:
        """Compute the content digest of an item after a broken run."""
        _ensure_content(run)

    def _has_unsettled_run(self, run: ItemRun) -> bool:
        # Another engine could crash before the last crash is confirmed.
        return run.content is not None and self._guard.has_unresolved_failures(
            run.content
        )


def _ensure_content(run: ItemRun) -> ContentDigest:
    if run.content is None:
        run.content = generation.content_of(run)
    return run.content
