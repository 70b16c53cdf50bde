"""Hold back items that are suspected of crashing engines."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.gateway import trials
from yuccarill.core.jobs.job_queue import RunState
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.quarantine import content_trials
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.engine_assignment import EngineAssigner
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job_queue import ItemRun
    from yuccarill.core.jobs.job_queue import JobQueue
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard

log = logs.for_part('runner')


@dataclasses.dataclass(frozen=True)
class _Trial:
    """Hold the content of a trial and the service that runs it."""

    content: ContentDigest
    service: ServiceName


class ItemHolds:
    """Decide which items can run now, and at which engines."""

    def __init__(self, queue: JobQueue, guard: ContentGuard) -> None:
        self._queue = queue
        self._guard = guard
        self._trials = content_trials.ContentTrials(guard)
        self._trials_by_run: dict[ItemRun, _Trial] = {}
        self.quarantined_runs: list[ItemRun] = []
        # Service of each quarantined run.
        self._services_by_run: dict[ItemRun, ServiceName] = {}

    def is_held_back(self, run: ItemRun, service: ServiceName) -> bool:
        """Return whether an item must not run now because of engine crashes.

        A quarantined item waits for a trial; the job can complete without the
        item's group.
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
            self._hold(run, content, service)
        return True

    def _hold(
        self, run: ItemRun, content: ContentDigest, service: ServiceName
    ) -> None:
        # The group cannot complete, so groups that can complete go first.
        self._queue.jobs_by_id[run.job.id].hold(run)
        self.quarantined_runs.append(run)
        self._trials.update(content, service)
        self._services_by_run[run] = service
        log.info(
            'Item held back: its content is quarantined.',
            item=run.item.id,
            job=run.job.id,
            content=content,
            trial_crashes=self._trials.crashes(content, service),
        )

    def resume(self) -> None:
        """Requeue the items whose quarantine has ended."""
        ledger = self._guard.ledger
        for run in list(self.quarantined_runs):
            state = self._queue.jobs_by_id.get(run.job.id)
            is_current = (
                state is not None
                and state.runs_by_id.get(run.item.id) is run
                and run.state is RunState.HELD
            )
            verdict = ledger.verdict(_ensure_content(run))
            if is_current and verdict is Verdict.QUARANTINED:
                continue
            self._remove_held(run)
            if state is not None and is_current:
                state.resume(run)
        self._trials.forget_released()

    def trial_candidates(self) -> list[ItemRun]:
        """Return the held items, those with the fewest crashes first."""
        return sorted(
            self.quarantined_runs,
            key=lambda run: self._trials.crashes(
                _ensure_content(run), self._services_by_run[run]
            ),
        )

    def may_try(
        self, run: ItemRun, service: ServiceName, targets: int
    ) -> bool:
        """Return whether a held item may run at one of a service's targets."""
        return self._trials.may_start(_ensure_content(run), service, targets)

    def choose_trial_engine(
        self, run: ItemRun, service: ServiceName, fleet: EngineFleet
    ) -> EngineState | None:
        """Choose the engine with the fewest runs that a crash would end."""
        now = self._guard.now()
        content = _ensure_content(run)
        shared = self._guard.forbidden_targets(content)
        usable = [
            engine
            for engine in fleet.engines_by_id.values()
            if fleet.can_run(engine, run.job, now)
        ]
        if self._trials.is_overdue(content, service):
            # Overdue items share an engine, so that a crash ends only one.
            at_risk = [each for each in usable if each.target.id in shared]
            usable = at_risk or usable
        else:
            usable = [each for each in usable if each.target.id not in shared]
        return min(
            usable,
            key=lambda engine: (engine.running, fleet.cost(engine, now)),
            default=None,
        )

    def start_trial(self, run: ItemRun, service: ServiceName) -> None:
        """Record the start of a trial of a held item."""
        content = _ensure_content(run)
        self._remove_held(run)
        self._queue.jobs_by_id[run.job.id].resume(run)
        self._trials.start(content, service)
        self._trials_by_run[run] = _Trial(content, service)

    def finish_run(
        self, run: ItemRun, outcome: generation.Outcome | None
    ) -> None:
        """Record the end of a run, which may be a trial."""
        trial = self._trials_by_run.pop(run, None)
        if trial is None:
            return
        match outcome:
            case generation.Outcome.WHOLE:
                end = trials.TrialEnd.COMPLETED
            case generation.Outcome.NOT_RUN:
                end = trials.TrialEnd.NOT_RUN
            case _:
                end = trials.TrialEnd.BROKEN
        self._trials.finish(trial.content, trial.service, end)

    def _remove_held(self, run: ItemRun) -> None:
        self.quarantined_runs.remove(run)
        del self._services_by_run[run]

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
